//! The replicated log of this member: the task that owns the agreement state,
//! its timer and its mailbox.

pub mod client;
pub mod envelope;
pub mod event;
pub mod message;
pub mod outgoing;
mod pending;
pub mod service;
pub mod status;
