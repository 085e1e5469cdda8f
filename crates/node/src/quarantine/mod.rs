//! Quarantine of requests that crash targets: finds out which requests ran when the target
//! beside this node crashed, shares it with the nodes of the same service, and refuses
//! requests under which targets have crashed again and again.

pub mod content;
pub mod convert;
pub mod counters;
pub mod crash;
pub mod detector;
pub mod filter;
pub mod isolation;
pub mod message;
pub mod peers;
pub mod refusals;
pub mod report;
pub mod service;
pub mod state;
pub mod status;
pub mod turn;
pub mod watch;
