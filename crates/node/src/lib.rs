//! Services of the node role. A node runs beside each target VM: it takes requests
//! from callers, forwards them to targets of the fleet, and protects its own target.

pub mod admin;
pub mod admission;
pub mod caller;
pub mod claims;
pub mod contacts;
pub mod error;
pub mod event;
pub mod gate;
pub mod in_flight;
pub mod leader;
pub mod lease;
pub mod ledger;
pub mod links;
pub mod listener;
pub mod log_limiter;
pub mod metrics;
pub mod name;
pub mod options;
pub mod origin;
pub mod peer;
pub mod protocol;
pub mod quarantine;
pub mod race;
pub mod refusal;
pub mod role;
pub mod services;
pub mod session;
pub mod suspension;
pub mod sync;
pub mod target;
