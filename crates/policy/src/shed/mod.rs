//! Load shedding by priority at a target, and throttling at the entry nodes.

pub mod level;
pub mod throttle;
