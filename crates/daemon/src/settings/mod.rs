//! Settings files in YAML, checked as a whole.

pub mod control;
pub mod document;
pub mod fault;
pub mod file;
pub mod node;
