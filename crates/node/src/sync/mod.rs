//! Keeps a copy of the configuration and membership that the control leader publishes.

pub mod home;
pub mod message;
pub mod poll;
pub mod service;
