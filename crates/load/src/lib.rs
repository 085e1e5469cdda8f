//! Load tests of masticarch: a stand-in target, a fault proxy, an open-loop
//! load generator, a harness that starts fleets of real processes, and the
//! runner of the experiments.

pub mod error;
pub mod experiment;
pub mod fleet;
pub mod generator;
pub mod http;
pub mod ports;
pub mod proxy;
pub mod standin;
