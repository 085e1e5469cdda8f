//! Algorithms for rate limits, load shedding, load balancing and retries.
//!
//! The crate does no I/O and reads no clock: the current time and random
//! numbers are arguments.

pub mod convert;
pub mod credit;
pub mod estimate;
pub mod ewma;
pub mod freshness;
pub mod ledger;
pub mod limit;
pub mod outlier;
pub mod quarantine;
pub mod queue;
pub mod retry_budget;
pub mod route;
pub mod share;
pub mod shed;
pub mod shutdown;
