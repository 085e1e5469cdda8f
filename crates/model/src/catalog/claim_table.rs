//! Table of the claims on non-idempotent requests.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::cancelled;
use crate::{answer, attempt, claim, code, incarnation, map, outcome, settlement, version};

/// A claim in the table.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    claim: claim::Claim,
    /// Version at which the claim was last settled; `None` while it runs.
    settled: Option<version::Version>,
}

/// Records that a claim was settled at a version.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Settled {
    version: version::Version,
    subject: claim::Subject,
}

/// All claims, with indexes of the running ones by the incarnation that holds them
/// and of the settled ones by version.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClaimTable {
    entries: map::Map<claim::Subject, Entry>,
    running: map::Map<incarnation::Incarnation, map::Set<claim::Subject>>,
    /// Oldest first. Some of these claims may have been removed or settled again.
    settled: VecDeque<Settled>,
    cancelled: cancelled::Cancelled,
}

impl ClaimTable {
    /// The claim on a subject, running or settled.
    pub fn get(&self, subject: &claim::Subject) -> Option<&claim::Claim> {
        self.entries.get(subject).map(|entry| &entry.claim)
    }

    /// Claims a subject for an attempt. The first claim wins. While it runs, its
    /// holder gets the same result again.
    pub fn claim(
        &mut self,
        subject: claim::Subject,
        digest: [u8; 32],
        attempt: attempt::Attempt,
    ) -> outcome::Outcome {
        if let Some(entry) = self.entries.get(&subject) {
            return repeated(&entry.claim, &digest, attempt);
        }
        if self.cancelled.contains(attempt) {
            return outcome::Outcome::Refused(code::Code::ClaimUnavailable);
        }
        let running = self.running.entry(attempt.node).or_default();
        running.insert(subject.clone());
        let claim = claim::Claim {
            digest,
            holder: attempt,
            state: claim::State::Running,
        };
        let entry = Entry {
            claim,
            settled: None,
        };
        self.entries.insert(subject, entry);
        outcome::Outcome::Claimed
    }

    /// Settles a claim if this attempt holds it. A claim that became `Unknown`, as
    /// when its holder's incarnation left, may still be settled by the holder; a
    /// claim that is `Done` does not change any more.
    pub fn settle(
        &mut self,
        subject: &claim::Subject,
        attempt: attempt::Attempt,
        settlement: settlement::Settlement,
        version: version::Version,
    ) -> outcome::Outcome {
        if settlement == settlement::Settlement::NotRun {
            self.cancelled.add(attempt);
        }
        let Some(entry) = self.entries.get(subject) else {
            // The claim has not been committed yet, or an earlier copy of this
            // settlement has removed it.
            return outcome::Outcome::Applied;
        };
        if entry.claim.holder != attempt {
            return outcome::Outcome::Held(entry.claim.clone());
        }
        if matches!(entry.claim.state, claim::State::Done(_)) {
            return outcome::Outcome::Applied;
        }
        self.stop_running(attempt.node, subject);
        match settlement {
            settlement::Settlement::NotRun => {
                self.entries.remove(subject);
            }
            settlement::Settlement::Done(answer) => {
                let small = |answer: &answer::Answer| answer.body.len() <= answer::MAX_BODY_BYTES;
                let kept = answer.filter(small);
                self.finish(subject, claim::State::Done(kept), version);
            }
            settlement::Settlement::Unknown => {
                self.finish(subject, claim::State::Unknown, version);
            }
        }
        outcome::Outcome::Applied
    }

    /// Settles the running claims of an incarnation that has left as `Unknown`.
    pub fn orphan(&mut self, holder: incarnation::Incarnation, version: version::Version) {
        for subject in self.running.remove(&holder).unwrap_or_default() {
            self.finish(&subject, claim::State::Unknown, version);
        }
    }

    /// Subjects of up to `count` claims that were settled at or before a version,
    /// oldest first.
    pub fn settled_until(&self, version: version::Version, count: usize) -> Vec<claim::Subject> {
        self.settled
            .iter()
            .take_while(|settled| settled.version <= version)
            .filter(|settled| self.is_last_settlement(settled))
            .map(|settled| settled.subject.clone())
            .take(count)
            .collect()
    }

    /// Removes those of the claims that are settled; running ones stay.
    pub fn forget(&mut self, subjects: &[claim::Subject]) {
        for subject in subjects {
            let settled = |entry: &Entry| entry.settled.is_some();
            if self.entries.get(subject).is_some_and(settled) {
                self.entries.remove(subject);
            }
        }
        while let Some(oldest) = self.settled.front()
            && !self.is_last_settlement(oldest)
        {
            self.settled.pop_front();
        }
    }

    fn is_last_settlement(&self, settled: &Settled) -> bool {
        let entry = self.entries.get(&settled.subject);
        entry.is_some_and(|entry| entry.settled == Some(settled.version))
    }

    fn finish(&mut self, subject: &claim::Subject, state: claim::State, version: version::Version) {
        if let Some(entry) = self.entries.get_mut(subject) {
            entry.claim.state = state;
            entry.settled = Some(version);
            self.settled.push_back(Settled {
                version,
                subject: subject.clone(),
            });
        }
    }

    fn stop_running(&mut self, holder: incarnation::Incarnation, subject: &claim::Subject) {
        if let Some(running) = self.running.get_mut(&holder) {
            running.remove(subject);
            if running.is_empty() {
                self.running.remove(&holder);
            }
        }
    }
}

/// The result of claiming a subject that has a claim already.
fn repeated(
    claim: &claim::Claim,
    digest: &[u8; 32],
    attempt: attempt::Attempt,
) -> outcome::Outcome {
    if claim.digest != *digest {
        return outcome::Outcome::Refused(code::Code::IdempotencyMismatch);
    }
    if claim.holder == attempt && claim.state == claim::State::Running {
        return outcome::Outcome::Claimed;
    }
    outcome::Outcome::Held(claim.clone())
}
