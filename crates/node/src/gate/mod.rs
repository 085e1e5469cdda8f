//! Decisions where a request enters the fleet: route, key, rate, shedding,
//! choice of a target and retries.

pub mod admission;
mod attempts;
mod authority;
pub mod choice;
mod denial;
pub mod key;
pub mod message;
mod outlet;
mod parked;
mod pending;
mod remote;
mod remotes;
pub mod report;
mod reports;
pub mod request;
mod running;
pub mod service;
mod splits;
mod state;
mod team;
mod teams;
mod terms;
mod verdict;
