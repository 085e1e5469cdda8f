//! The daemon: reads settings, sets up logs and signals, and runs roles.

pub mod arguments;
pub mod command;
pub mod error;
pub mod log;
pub mod settings;
pub mod signal;
