//! Decisions where a request enters the fleet: route, key, rate, shedding,
//! choice of a target and retries.

pub mod admission;
pub mod choice;
pub mod key;
pub mod message;
pub mod report;
pub mod request;
pub mod service;
