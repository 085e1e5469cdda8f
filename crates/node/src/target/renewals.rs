//! How long the runs of a target have renewed their announcements.

use std::time::{Duration, Instant};

use super::instance;

/// Most runs of one service that are followed; the one not heard from for longest is
/// dropped.
const MAX_RUNS: usize = 8;

#[derive(Debug)]
struct Renewal {
    instance: instance::Instance,
    first: Instant,
    last: Instant,
}

/// The runs of one service whose announcements have arrived lately.
#[derive(Debug, Default)]
pub struct Renewals {
    runs: Vec<Renewal>,
}

impl Renewals {
    /// Adds an announcement that has arrived at `now`. One that is no later than the last
    /// one of its run renews nothing. Runs that have renewed nothing for `expiry` are
    /// forgotten.
    pub fn add(&mut self, instance: &instance::Instance, now: Instant, expiry: Duration) {
        self.runs
            .retain(|run| now.saturating_duration_since(run.last) <= expiry);
        let mut runs = self.runs.iter_mut();
        if let Some(run) = runs.find(|run| run.instance.is_same_run(instance)) {
            if run.instance.sequence < instance.sequence {
                run.instance.sequence = instance.sequence;
                run.last = now;
            }
            return;
        }
        if self.runs.len() >= MAX_RUNS {
            let oldest = self.runs.iter().enumerate().min_by_key(|(_, run)| run.last);
            if let Some((oldest, _)) = oldest {
                self.runs.swap_remove(oldest);
            }
        }
        self.runs.push(Renewal {
            instance: instance.clone(),
            first: now,
            last: now,
        });
    }

    /// Forgets all runs but those for which `is_kept` holds.
    pub fn retain(&mut self, is_kept: impl Fn(&instance::Instance) -> bool) {
        self.runs.retain(|run| is_kept(&run.instance));
    }

    /// Time from the first to the last announcement of a run; zero for one that is not
    /// followed.
    #[must_use]
    pub fn heard(&self, instance: &instance::Instance) -> Duration {
        let mut runs = self.runs.iter();
        runs.find(|run| run.instance.is_same_run(instance))
            .map_or(Duration::ZERO, |run| run.last - run.first)
    }
}
