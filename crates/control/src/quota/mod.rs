//! Owner of the rate shares.

pub mod message;
pub mod service;
