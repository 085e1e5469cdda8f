//! Retry credit: a bound on the extra executions in a whole call tree.
//!
//! Each credit allows one extra execution. A request starts with the credit of its
//! route. Its entry node keeps the [`balance`](balance::Balance) and lends part of it
//! to each attempt. The node of the target keeps the [`account`](account::Account) of
//! the execution and lends part of it to each sub-call. What is lent is an
//! [`allowance`](allowance::Allowance); what is left of it comes back with the answer,
//! in an [`outcome`](outcome::Outcome). An execution under the repeat mark, which may
//! repeat an earlier one, costs one credit.

pub mod account;
pub mod allowance;
pub mod balance;
pub mod half;
pub mod outcome;
