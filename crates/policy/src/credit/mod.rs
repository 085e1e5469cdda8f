//! Retry credit: a bound on the extra executions in a whole call tree.
//!
//! A request starts with the credit of its route. Each attempt and sub-call is lent
//! part of it, and what is left comes back with the answer. An execution under the
//! repeat mark, which may repeat an earlier one, costs one credit.

pub mod account;
pub mod balance;
pub mod half;
pub mod loan;
pub mod outcome;
