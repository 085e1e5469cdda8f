//! A stand-in target: an HTTP service in place of a user's, whose latency and
//! failures can be changed while it runs.
//!
//! Its kernel services are `work` (the scheduler of slots, queue and records),
//! `target` (listener for requests, which can crash), `control` (listener for changes) and
//! `announcer`.

pub mod announcer;
pub mod behaviour;
pub mod calls;
pub mod control;
pub mod crash;
pub mod distribution;
pub mod handle;
pub mod record;
pub mod scheduler;
pub mod settings;
pub mod target;
pub mod thread;

pub use handle::Handle;
pub use settings::Settings;
