//! The queue of requests that wait for a target: bounded in time, strict in the
//! order of priorities, fair between the teams of one priority.

pub mod bounded;
pub mod bounds;
pub mod descriptor;
mod entry;
mod fair;
mod flow;
pub mod offer;
pub mod taken;
