//! The durable state of a member: its vote, log and snapshot in the data directory,
//! written by a thread of its own.
//!
//! The types of the Raft state are encoded here, so that the store handles bytes
//! only.

use std::io;
use std::sync::Arc;

use futures::channel::mpsc::UnboundedReceiver;
use masticarch_agreement::{
    entry as raft_entry, membership, recovered, sequence, snapshot as raft_snapshot, write,
};
use masticarch_model::member;
use masticarch_store::{
    batch, completion, contents, directory, entry, error as store_error, options as store_options,
    request, snapshot, store, writer,
};
use masticarch_wire::message as wire;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use crate::options;

quick_error! {
    /// Why the data directory cannot be used.
    #[derive(Debug)]
    pub enum Error {
        /// The data directory or its lock cannot be opened.
        Io(source: io::Error) {
            from()
            source(source)
            display("cannot open the data directory: {source}")
        }
        /// Another process uses the data directory.
        Locked {
            display("another process uses the data directory")
        }
        /// The store cannot open or set up the data directory.
        Store(source: store_error::Error) {
            from()
            source(source)
            display("{source}")
        }
        /// The data directory belongs to another member.
        Identity(found: member::Id) {
            display("the data directory belongs to member {}", found.0)
        }
        /// The data directory is empty, but the settings do not declare it new.
        /// The disk must have been lost, and this id must not be used again.
        Lost {
            display("the data directory is empty but not declared new; after the loss of a disk, the member needs a new id")
        }
        /// A record cannot be decoded, although its checksum matches.
        Decode(source: masticarch_wire::error::Error) {
            from()
            source(source)
            display("cannot decode the data directory: {source}")
        }
    }
}

impl Error {
    /// Whether the directory may be usable later: the disk refuses an operation, or the
    /// last writer has not let go of the lock yet.
    #[must_use]
    pub const fn is_temporary(&self) -> bool {
        matches!(
            self,
            Self::Io(_) | Self::Locked | Self::Store(store_error::Error::Io(..))
        )
    }
}

/// The payload of a snapshot in the store.
#[derive(Debug, Serialize, Deserialize)]
struct Stored {
    meta: raft_snapshot::Meta,
    data: Arc<[u8]>,
}

/// An open data directory: its recovered state, and the thread that writes to it.
#[derive(Debug)]
pub struct Journal {
    /// Vote, snapshot and log entries read at the start.
    pub recovered: recovered::Recovered,
    /// Queues writes for the thread.
    pub writer: writer::Writer,
    /// Reports of finished and failed writes.
    pub completions: UnboundedReceiver<completion::Completion>,
}

impl Journal {
    /// Opens the data directory, or sets up a new one.
    ///
    /// # Errors
    /// [`Error`] when the directory cannot be used.
    pub fn open(options: &options::Options) -> Result<Self, Error> {
        let directory = directory::Directory::open(&options.data).map_err(locked)?;
        if options.new {
            create(&directory, options)?;
        }
        let options_of_store = store_options::Options::default();
        let opened = store::Store::open_with(directory, options_of_store, decode_entry);
        let (store, contents) = opened.map_err(lost_if_empty)?;
        let found = wire::decode(&contents.identity)?;
        if found != options.id {
            return Err(Error::Identity(found));
        }
        let recovered = decode(contents)?;
        let (writer, completions) = writer::Writer::start(store)?;
        Ok(Self {
            recovered,
            writer,
            completions,
        })
    }
}

/// Sets up the data directory, unless an earlier start with the same settings has
/// done so.
fn create(directory: &directory::Directory, options: &options::Options) -> Result<(), Error> {
    let initial_members = if options.join {
        Vec::new()
    } else {
        options.members.clone()
    };
    let membership = membership::Membership::new(initial_members);
    let initial = encode_snapshot(&raft_snapshot::Snapshot::initial(membership));
    let identity = wire::encode(&options.id);
    match store::Store::create(directory, &identity, &initial) {
        Err(store_error::Error::Exists) => Ok(()),
        outcome => Ok(outcome?),
    }
}

fn locked(error: io::Error) -> Error {
    match error.kind() {
        io::ErrorKind::WouldBlock => Error::Locked,
        _ => Error::Io(error),
    }
}

fn lost_if_empty(error: store_error::Error) -> Error {
    match error {
        store_error::Error::Empty => Error::Lost,
        other => Error::Store(other),
    }
}

/// Encodes a write of the Raft state for the store.
#[must_use]
pub fn encode(write: &write::Write) -> request::Request {
    let encode_entry = |entry: &raft_entry::Entry| entry::Entry {
        index: entry.position.index.0,
        payload: wire::encode(entry),
    };
    request::Request {
        sequence: write.sequence.0,
        vote: write.vote.as_ref().map(wire::encode),
        batch: batch::Batch {
            truncate: write.truncate.map(|index| index.0),
            entries: write.entries.iter().map(encode_entry).collect(),
        },
        snapshot: write.snapshot.as_ref().map(encode_snapshot),
    }
}

/// Converts the sequence number of a completed write for the Raft state.
#[must_use]
pub fn sequence(number: u64) -> sequence::Sequence {
    sequence::Sequence(number)
}

fn encode_snapshot(snapshot: &raft_snapshot::Snapshot) -> snapshot::Snapshot {
    let stored = Stored {
        meta: snapshot.meta.clone(),
        data: Arc::clone(&snapshot.data),
    };
    snapshot::Snapshot {
        index: snapshot.meta.position.index.0,
        payload: wire::encode(&stored).into(),
    }
}

fn decode_entry(entry: entry::Entry) -> Option<raft_entry::Entry> {
    let entry::Entry { index, payload } = entry;
    let decoded = wire::decode(&payload);
    drop(payload);
    decoded
        .inspect_err(|error| tracing::error!(index, %error, "entry cannot be decoded"))
        .ok()
}

fn decode(contents: contents::Contents<raft_entry::Entry>) -> Result<recovered::Recovered, Error> {
    let vote = contents.vote.as_deref().map(wire::decode).transpose()?;
    let stored: Stored = wire::decode(&contents.snapshot.payload)?;
    Ok(recovered::Recovered {
        vote: vote.unwrap_or_default(),
        snapshot: raft_snapshot::Snapshot {
            meta: stored.meta,
            data: stored.data,
        },
        entries: contents.entries,
    })
}
