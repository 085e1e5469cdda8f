//! Admission queue of a target: bounded in time and number, strictly ordered by
//! priority, and fair between the teams of one priority.

pub mod bounded;
pub mod bounds;
pub mod dequeued;
pub mod descriptor;
mod entry;
mod fair;
mod flow;
pub mod push;
