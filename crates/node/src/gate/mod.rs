//! Decisions where a request enters the fleet: route, key, rate, shedding,
//! choice of a target and retries.

pub mod admission;
mod authorization;
mod balancer;
pub mod choice;
mod classify;
mod context;
mod denial;
mod dispatcher;
mod endpoint;
pub mod key;
mod lease_report;
pub mod message;
mod pending;
pub mod report;
pub mod request;
mod running;
pub mod service;
mod splits;
mod startup;
mod state;
mod team;
mod teams;
mod upstream;
