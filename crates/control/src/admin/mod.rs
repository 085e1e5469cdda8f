//! The HTTP port for metrics and health.

mod head;
pub mod port;
mod resource;
