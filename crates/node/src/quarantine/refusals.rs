//! Requests that were refused at this node because of a quarantine.

use std::collections::VecDeque;

use masticarch_model::map;
use masticarch_policy::quarantine::{fingerprint, suspect};

/// Most ids that are kept for each quarantined request.
const MAX_IDS: usize = 8;

/// Requests that were refused at this node, by their fingerprint.
#[derive(Debug, Default)]
pub struct Refusals {
    entries: map::Map<fingerprint::Fingerprint, Entry>,
}

#[derive(Debug, Default)]
struct Entry {
    count: u64,
    ids: VecDeque<Box<str>>,
}

impl Refusals {
    /// Records the refusal of a request.
    pub fn record(&mut self, suspect: &suspect::Suspect) {
        let entry = self.entries.entry(suspect.fingerprint).or_default();
        entry.count += 1;
        if entry.ids.len() >= MAX_IDS {
            entry.ids.pop_front();
        }
        entry.ids.push_back(suspect.request.clone());
    }

    /// Number of refusals of a request, and the ids of the last ones.
    #[must_use]
    pub fn get(&self, fingerprint: fingerprint::Fingerprint) -> (u64, Vec<Box<str>>) {
        let entry = self.entries.get(&fingerprint);
        entry.map_or((0, Vec::new()), |entry| {
            (entry.count, entry.ids.iter().cloned().collect())
        })
    }

    /// Keeps only the refusals of some requests.
    pub fn retain(&mut self, is_kept: impl Fn(fingerprint::Fingerprint) -> bool) {
        self.entries.retain(|fingerprint, _| is_kept(*fingerprint));
    }
}
