//! Estimates of service times by kind of work.
//!
//! They answer a load of requests of very different lengths to the same targets, whose
//! mix changes.

mod kind;
pub mod slowness;
pub mod table;
