//! Serves metrics, health and status, and receives announcements, on loopback.

pub mod handler;
pub mod service;
pub mod status;
