//! Open-loop load generator: requests are sent at their arrival times, whether or
//! not earlier ones have been answered.
//!
//! The `dispatcher` owns the arrivals and the pool of idle connections. Each
//! attempt is a task that owns its connection and returns it in a message.

pub mod arrivals;
pub mod attempt;
pub mod dispatcher;
pub mod plan;
pub mod rate_limit;
pub mod record;
pub mod report;
pub mod team;

pub use dispatcher::run;
pub use plan::Plan;
pub use report::Report;
pub use team::Team;
