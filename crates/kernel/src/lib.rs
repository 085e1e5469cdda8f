//! Micro-kernel of a masticarch process.
//!
//! A role is a kernel with services. A service is one task that owns its state
//! and its sockets, reads one [`mailbox::Mailbox`] and is found by its name in
//! the [`registry::Registry`]. The [`kernel::Kernel`] starts services in the
//! order of registration and stops them in the reverse order.

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
