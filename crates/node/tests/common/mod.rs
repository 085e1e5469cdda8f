//! Fixtures: nodes with a stand-in for control, targets, a proxy and clients on plain
//! TCP streams.
#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

pub mod client;
pub mod control;
pub mod crashing;
pub mod fleet;
pub mod proxy;
pub mod target;
