//! Open-loop load: arrivals do not wait for answers.
//!
//! The `dispatcher` owns the arrivals and the pool of idle connections. Each
//! attempt is a task that owns its connection and hands it back in a message.

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
