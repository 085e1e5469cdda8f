//! One member with its disk and its replicated state.

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use masticarch_agreement::{
    entry, index, membership, options, raft, recovered, role, sequence, snapshot, term, write,
};
use masticarch_model::member;

use super::{Seeded, history};

/// A write that the disk finishes later.
struct Pending {
    due: Duration,
    write: write::Write,
}

/// A member that can crash and restart.
pub struct Member {
    id: member::Id,
    random: Seeded,
    pub raft: Option<raft::Raft<Seeded>>,
    /// What is durable.
    pub disk: recovered::Recovered,
    /// What will be durable once all writes are finished.
    pub written: recovered::Recovered,
    pending: VecDeque<Pending>,
    applied: index::Index,
    state: Vec<u8>,
    restart_at: Duration,
}

impl Member {
    pub fn new(id: member::Id, snapshot: snapshot::Snapshot, random: Seeded) -> Self {
        let disk = recovered::Recovered {
            snapshot,
            ..recovered::Recovered::default()
        };
        Self {
            id,
            random,
            raft: None,
            written: disk.clone(),
            disk,
            pending: VecDeque::new(),
            applied: index::Index(0),
            state: Vec::new(),
            restart_at: Duration::ZERO,
        }
    }

    pub fn leads(&self) -> bool {
        let status = self.raft.as_ref().map(raft::Raft::status);
        status.is_some_and(|status| status.role == role::Role::Leader)
    }

    pub fn term(&self) -> term::Term {
        let status = self.raft.as_ref().map(raft::Raft::status);
        status.map_or(term::Term(0), |status| status.term)
    }

    /// Index of the last applied entry, and the bytes of all commands applied.
    pub fn state(&self) -> (index::Index, Vec<u8>) {
        (self.applied, self.state.clone())
    }

    /// Hands a write to the disk, which finishes it at `due`.
    pub fn write(&mut self, write: write::Write, due: Duration) {
        apply_write(&mut self.written, write.clone());
        self.pending.push_back(Pending { due, write });
    }

    /// Makes the due writes durable, and returns the number of the last one.
    pub fn finish_writes(&mut self, now: Duration) -> Option<sequence::Sequence> {
        let mut last = None;
        while self.pending.front().is_some_and(|first| first.due <= now) {
            last = self.finish_write();
        }
        last
    }

    fn finish_write(&mut self) -> Option<sequence::Sequence> {
        let Pending { write, .. } = self.pending.pop_front()?;
        let sequence = write.sequence;
        apply_write(&mut self.disk, write);
        Some(sequence)
    }

    pub fn install(&mut self, snapshot: &snapshot::Snapshot) {
        self.applied = snapshot.meta.position.index;
        self.state = snapshot.data.to_vec();
    }

    pub fn apply(&mut self, entry: &entry::Entry) {
        assert_eq!(entry.position.index, self.applied.next(), "a gap");
        self.applied = entry.position.index;
        self.state
            .extend(history::command(entry).into_iter().flatten());
    }

    /// Loses everything that is only in memory. Some of the pending writes may have reached
    /// the disk without having been reported.
    pub fn crash(&mut self, restart_at: Duration, random: &mut Seeded) {
        while random.percent(50) && self.finish_write().is_some() {}
        self.pending.clear();
        self.raft = None;
        self.restart_at = restart_at;
    }

    pub fn restart_if_due(&mut self, now: Duration) {
        if self.raft.is_some() || now < self.restart_at {
            return;
        }
        self.written = self.disk.clone();
        self.applied = index::Index(0);
        self.state.clear();
        let options = options::Options::builder()
            .chunk_bytes(64)
            .retained_entries(10)
            .window_entries(16)
            .batch_bytes(40)
            .build();
        let recovered = self.disk.clone();
        let random = self.random.fork();
        let raft = raft::Raft::new(self.id, options, recovered, random, now);
        self.raft = Some(raft);
    }
}

/// Membership of a new group: voters with the ids from 1 on.
pub fn initial_membership(size: u64) -> membership::Membership {
    let voter = |id| member::Member {
        voter: true,
        ..learner(member::Id(id))
    };
    membership::Membership::new((1..=size).map(voter).collect())
}

/// A member without a vote.
pub fn learner(id: member::Id) -> member::Member {
    member::Member {
        id,
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        voter: false,
    }
}

/// Applies a write to the contents of a disk.
fn apply_write(disk: &mut recovered::Recovered, write: write::Write) {
    disk.vote = write.vote.unwrap_or(disk.vote);
    if let Some(from) = write.truncate {
        disk.entries.retain(|entry| entry.position.index < from);
    }
    if let Some(snapshot) = write.snapshot {
        let covered = snapshot.meta.position.index;
        disk.entries.retain(|entry| entry.position.index > covered);
        disk.snapshot = snapshot;
    }
    for entry in write.entries {
        let last = disk.entries.last().map(|last| last.position.index);
        let last = last.unwrap_or(disk.snapshot.meta.position.index);
        assert_eq!(entry.position.index, last.next(), "a gap on disk");
        disk.entries.push(entry);
    }
}
