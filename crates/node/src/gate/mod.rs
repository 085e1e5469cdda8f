//! The gate decides on requests at their entry node, where they enter the fleet: it
//! finds the route, checks the key, applies the rate limit of the team, sheds load,
//! chooses a target and decides on retries.

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
mod statements;
mod team;
mod teams;
mod upstream;
mod work;
