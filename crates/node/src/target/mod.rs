//! Local targets: keeps their announcements, pools the connections to them, and runs
//! requests there.

pub mod announcement;
pub mod change;
mod departed;
pub mod guard;
pub mod instance;
pub mod job;
pub mod message;
pub mod pool;
mod renewals;
pub mod run;
pub mod runs;
pub mod service;
pub mod withdrawal;
