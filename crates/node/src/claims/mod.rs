//! Claims non-idempotent requests at the control leader.

pub mod message;
pub mod reservation;
pub mod service;
pub mod worker;
