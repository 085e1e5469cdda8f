//! Services of the node role: the process beside each target VM.

pub mod admission;
pub mod claims;
pub mod event;
pub mod gate;
pub mod ledger;
pub mod metrics;
pub mod name;
pub mod options;
pub mod origin;
pub mod refusal;
