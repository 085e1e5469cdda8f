//! Quarantine of requests that crash the targets that run them.
//!
//! When a target crashes, all requests that ran there are suspects. A completed run clears
//! a request, so that only those that never complete collect crashes.

pub mod crash;
pub mod decision;
pub mod evidence;
pub mod fingerprint;
pub mod record;
pub mod suspect;
pub mod table;
