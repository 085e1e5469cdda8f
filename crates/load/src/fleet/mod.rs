//! Starts fleets of real processes on loopback addresses and controls them.

pub mod admin;
pub mod binary;
pub mod control;
pub mod handle;
pub mod hosts;
mod launcher;
pub mod objects;
pub mod operator;
pub mod partition;
pub mod process;
pub mod ready;
pub mod session;
pub mod settings;
pub mod spec;

pub use handle::Fleet;
pub use spec::Spec;
