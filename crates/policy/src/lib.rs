//! Decisions on the request path, without sockets, clocks or encodings: the
//! present moment and random numbers are arguments.

pub mod convert;
pub mod credit;
pub mod ewma;
pub mod freshness;
pub mod ledger;
pub mod limit;
pub mod outlier;
pub mod queue;
pub mod retry_budget;
pub mod route;
pub mod share;
pub mod shed;
