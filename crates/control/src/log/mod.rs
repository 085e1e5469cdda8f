//! The replicated log, as the other services use it.

pub mod client;
pub mod message;
pub mod single;
pub mod status;
