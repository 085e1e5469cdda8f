//! Follows the control leader for configuration and membership.

pub mod home;
pub mod message;
pub mod poll;
pub mod service;
