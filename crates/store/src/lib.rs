//! Durable log, snapshot, vote and identity of a control member.
//!
//! The log is a write-ahead log in segments. Payloads are opaque to the store.
//! [`store::Store`] is blocking; [`writer::Writer`] runs it on a thread of its
//! own. The file operations that it uses are the trait [`disk::Disk`].

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
