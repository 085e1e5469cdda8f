//! Experiments described by YAML files.
//!
//! Each experiment runs the system and a baseline with the same load and faults,
//! takes the same measures of both, and compares those of the system with bounds.

pub mod action;
pub mod measure;
pub mod objects;
pub mod outcome;
pub mod plan;
pub mod run;
pub mod trial;

pub use outcome::Outcome;
pub use plan::Plan;
pub use run::run;
