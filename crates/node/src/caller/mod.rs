//! Serves callers: admits their requests, makes the attempts and writes the answers.

pub mod attempt;
pub mod claim;
pub mod encode;
pub mod guard;
pub mod handler;
pub mod ledger;
pub mod service;
pub mod watch;
