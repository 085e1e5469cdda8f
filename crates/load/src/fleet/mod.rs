//! A fleet of real processes on loopback addresses.

pub mod binary;
pub mod handle;
pub mod hosts;
pub mod objects;
pub mod operator;
pub mod process;
pub mod ready;
pub mod settings;
pub mod spec;

pub use handle::Fleet;
pub use spec::Spec;
