//! Owner of the catalog: applies committed commands and wakes long polls.

pub mod answer;
pub mod client;
mod holders;
pub mod message;
mod outcomes;
mod polls;
pub mod presence;
pub mod retention;
pub mod service;
pub mod sweep;
