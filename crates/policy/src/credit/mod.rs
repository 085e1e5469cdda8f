//! Retry credit carried with a call, which bounds the extra executions of a
//! whole call tree.

pub mod account;
pub mod balance;
pub mod half;
pub mod loan;
pub mod outcome;
