//! Claims non-idempotent requests at the control leader.

pub mod hold;
pub mod message;
pub mod service;
pub mod worker;
