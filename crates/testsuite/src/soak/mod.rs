//! Random faults on the processes of a fleet and the targets beside them.

pub mod history;
pub mod injector;
pub mod mode;
mod repair;
pub mod run;
pub mod sample;
pub mod seeds;
pub mod statement;
