//! Consensus on the replicated log of the control group: Raft as a pure state
//! machine, with pre-vote, learners, changes of one member at a time, snapshots
//! and confirmations of leadership (read index).
//!
//! [`raft::Raft`] takes inputs (time, messages, proposals, reports of
//! finished writes) and collects [`effects::Effects`] for its caller to carry
//! out. It does no I/O, reads no clock and has no source of randomness of its own.

mod assembly;
mod bound;
pub mod change;
pub mod confirmation;
pub mod effects;
pub mod entry;
pub mod index;
mod leader;
mod log;
pub mod membership;
pub mod message;
pub mod options;
mod outbox;
pub mod payload;
pub mod peer;
pub mod position;
mod progress;
pub mod raft;
pub mod random;
pub mod recovered;
pub mod refusal;
pub mod role;
mod rounds;
pub mod sequence;
mod slot;
pub mod snapshot;
mod state;
pub mod status;
mod tally;
pub mod term;
pub mod vote;
pub mod write;
