//! Durable log, snapshot, vote and identity of a control member.
//!
//! The store keeps opaque payloads and makes no decisions. [`store::Store`] is
//! blocking; [`writer::Writer`] runs it on a thread of its own. What it needs
//! of a file system is the trait [`disk::Disk`].

pub mod batch;
pub mod completion;
pub mod contents;
pub mod directory;
pub mod disk;
pub mod entry;
pub mod error;
pub mod options;
mod record;
mod replay;
pub mod request;
mod segment;
pub mod snapshot;
pub mod store;
pub mod writer;
