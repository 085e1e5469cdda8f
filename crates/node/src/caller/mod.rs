//! Accepts callers and takes their requests through the fleet.

pub mod attempt;
pub mod claim;
pub mod encode;
pub mod guard;
pub mod handler;
pub mod ledger;
pub mod service;
