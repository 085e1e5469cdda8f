//! Operators' calls to the control group, shared by the tool, the local mode of
//! the daemon and the load tool.

pub mod client;
pub mod error;
pub mod random;
pub mod settings;
