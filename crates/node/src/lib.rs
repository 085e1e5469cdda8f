//! Services of the node role: the process beside each target VM.

pub mod activity;
pub mod admin;
pub mod admission;
pub mod caller;
pub mod claims;
pub mod error;
pub mod event;
pub mod gate;
pub mod leader;
pub mod lease;
pub mod ledger;
pub mod links;
pub mod listener;
pub mod metrics;
pub mod name;
pub mod options;
pub mod origin;
pub mod peer;
pub mod race;
pub mod refusal;
pub mod role;
pub mod services;
pub mod session;
pub mod sync;
pub mod target;
