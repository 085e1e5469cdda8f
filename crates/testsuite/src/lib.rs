//! Fixtures for integration tests that run fleets of real processes.
//!
//! Each file in `tests/` covers one feature. A test arranges a fleet with
//! [`setup::fleet`], acts as a caller with [`caller::Caller`] or as an
//! operator, and asserts on the answers and on the records of the stand-ins.

pub mod caller;
pub mod check;
pub mod daemon;
pub mod group;
pub mod operation;
pub mod raw_target;
pub mod setup;
pub mod soak;
pub mod tool;
pub mod watch;
pub mod writer;
