//! Sends messages to the other members of the control group.

mod peer;
pub mod service;
