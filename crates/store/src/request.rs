//! Requests to the store.

use crate::{batch, snapshot};

/// State to make durable. The parts take effect in the order vote,
/// truncation, snapshot, entries, so that a crash between them leaves a state
/// that could have been reached without it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Request {
    /// Number by which the completion refers to this request; rises with every
    /// request.
    pub sequence: u64,
    /// The new vote, if it has changed; opaque to the store.
    pub vote: Option<Vec<u8>>,
    /// Change of the log; empty if there is none.
    pub batch: batch::Batch,
    /// The new snapshot, if one was taken or received.
    pub snapshot: Option<snapshot::Snapshot>,
}

impl Request {
    /// Merges the request that follows, so that both share one sync.
    ///
    /// # Errors
    /// The later request, if one of the two has a snapshot, which must keep its
    /// place between the entries.
    pub fn merge(&mut self, later: Self) -> Result<(), Self> {
        if self.snapshot.is_some() || later.snapshot.is_some() {
            return Err(later);
        }
        self.sequence = later.sequence;
        self.vote = later.vote.or(self.vote.take());
        self.batch.merge(later.batch);
        Ok(())
    }
}
