//! The replicated state machine: applies committed commands to the catalog of
//! nodes, targets, configuration and claims, and answers long polls.

pub mod answer;
pub mod client;
mod holders;
pub mod message;
mod outcomes;
mod polls;
pub mod registration;
pub mod retention;
pub mod service;
pub mod sweep;
