//! Claims non-idempotent requests at the control leader, so that each runs at most
//! once.

pub mod message;
pub mod reservation;
pub mod service;
pub mod worker;
