//! Load tests of masticarch: a stand-in target, a TCP proxy that injects faults,
//! an open-loop load generator, a harness that starts fleets of real processes,
//! and a runner of experiments.

pub mod error;
pub mod experiment;
pub mod fleet;
pub mod flood;
pub mod generator;
pub mod http;
pub mod memory;
pub mod ports;
pub mod proxy;
pub mod standin;
