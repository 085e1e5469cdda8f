//! Overload of a target, and early refusal where requests enter the fleet.

pub mod level;
pub mod throttle;
