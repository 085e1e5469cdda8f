//! Client for the operator ports of the control group, shared by the operators'
//! command-line tool and the local mode of the daemon.

pub mod client;
pub mod error;
pub mod random;
pub mod settings;
