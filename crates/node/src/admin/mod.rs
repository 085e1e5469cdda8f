//! Serves metrics, health, status and announcements on loopback.

pub mod handler;
pub mod service;
pub mod status;
