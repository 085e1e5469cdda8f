//! Actor runtime of a masticarch process.
//!
//! Each role of a process has one [`kernel::Kernel`] with its services. A service
//! is an actor: one task that owns its state and its sockets, receives messages
//! through one [`mailbox::Mailbox`], and is found by its name in the
//! [`registry::Registry`]. The kernel stops services in the reverse order of
//! their start.

pub mod address;
pub mod error;
pub mod kernel;
pub mod mailbox;
pub mod name;
pub mod registry;
pub mod reply;
pub mod runtime;
pub mod stop;
pub mod task;
