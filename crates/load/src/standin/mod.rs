//! A stand-in for a users' service, with faults that can be changed while it
//! runs.
//!
//! Its services are `work` (slots, queue and records), `target` (listener),
//! `control` (listener) and `announcer`.

pub mod announcer;
pub mod behaviour;
pub mod calls;
pub mod control;
pub mod distribution;
pub mod handle;
pub mod record;
pub mod scheduler;
pub mod settings;
pub mod target;
pub mod thread;

pub use handle::Handle;
pub use settings::Settings;
