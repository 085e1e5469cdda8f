//! The replicated log at this member: the task that runs the Raft state of
//! `masticarch_agreement` with its timer, storage and messages, and its clients.

pub mod client;
pub mod envelope;
pub mod event;
pub mod message;
pub mod outgoing;
mod pending;
pub mod service;
pub mod status;
