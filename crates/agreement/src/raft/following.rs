//! Messages of the leader, as its followers handle them.

use masticarch_model::member;

use super::Raft;
use crate::{assembly, entry, index, message, outbox, position, random, snapshot};

impl<R: random::Random> Raft<R> {
    pub(super) fn on_append(
        &mut self,
        from: member::Id,
        previous: position::Position,
        entries: Vec<entry::Entry>,
        commit: index::Index,
    ) {
        self.follow_leader(from);
        if previous.index > self.commit_index && !self.log.contains(previous) {
            self.reject(from, previous.index);
            return;
        }
        let end = entries.last().map_or(previous, |last| last.position).index;
        for entry in entries {
            self.append_received(entry);
        }
        self.advance_commit(commit.min(end));
        let matched = end.max(self.commit_index);
        self.send_durable(from, message::Body::Appended { matched });
    }

    pub(super) fn on_heartbeat(&mut self, from: member::Id, round: u64, commit: index::Index) {
        self.follow_leader(from);
        self.advance_commit(commit);
        self.send(from, message::Body::HeartbeatReply { round });
    }

    pub(super) fn on_chunk(
        &mut self,
        from: member::Id,
        meta: snapshot::Meta,
        offset: u64,
        total: u64,
        data: &[u8],
    ) {
        self.follow_leader(from);
        let index = meta.position.index;
        if self.log.contains(meta.position) {
            self.advance_commit(index);
        }
        if index <= self.commit_index {
            self.assembly = None;
            let matched = self.commit_index;
            self.send_durable(from, message::Body::Appended { matched });
            return;
        }
        let received = self.assemble(meta, offset, total, data);
        if self
            .assembly
            .as_ref()
            .is_some_and(assembly::Assembly::is_complete)
        {
            self.install();
            self.send_durable(from, message::Body::Appended { matched: index });
        } else {
            self.send(from, message::Body::ChunkReply { index, received });
        }
    }

    /// Raises the commit index to one that the log is known to share with the
    /// leader.
    fn advance_commit(&mut self, commit: index::Index) {
        self.commit_index = self.commit_index.max(commit.min(self.log.last().index));
    }

    fn follow_leader(&mut self, leader: member::Id) {
        self.last_heard = Some(self.now);
        self.reset_election_timer();
        self.become_follower(Some(leader));
    }

    /// Appends one entry of the leader, in place of any that conflict with it.
    /// Committed entries are the same everywhere, so a repeated or late message
    /// never replaces one.
    fn append_received(&mut self, entry: entry::Entry) {
        let index = entry.position.index;
        if index <= self.commit_index || self.log.contains(entry.position) {
            return;
        }
        if index <= self.log.last().index {
            self.log.truncate(index);
            self.outbox.truncate(index);
        }
        self.log.push(entry);
        self.outbox.mark_dirty();
    }

    /// Rejects an append that doesn't continue the log. The leader should go on
    /// after this log's last entry, or before the term that conflicts.
    fn reject(&mut self, to: member::Id, previous: index::Index) {
        let last = if previous > self.log.last().index {
            self.log.last().index
        } else {
            self.log.first_of_term(previous).previous()
        };
        let last = last.max(self.commit_index);
        self.send(to, message::Body::Rejected { previous, last });
    }

    /// Adds a chunk to the snapshot that is being received, or starts another one.
    /// Returns the number of bytes received so far.
    fn assemble(&mut self, meta: snapshot::Meta, offset: u64, total: u64, data: &[u8]) -> u64 {
        let matches = |assembly: &assembly::Assembly| assembly.matches(&meta, total);
        if !self.assembly.as_ref().is_some_and(matches) {
            self.assembly = Some(assembly::Assembly::new(meta, total));
        }
        let Some(assembly) = &mut self.assembly else {
            return 0;
        };
        assembly.add_chunk(offset, data);
        assembly.received()
    }

    /// Replaces the log by the received snapshot.
    fn install(&mut self) {
        let Some(assembly) = self.assembly.take() else {
            return;
        };
        let snapshot = assembly.into_snapshot();
        self.commit_index = snapshot.meta.position.index;
        self.log.reset(snapshot.clone());
        self.outbox.truncate(index::Index(1));
        self.snapshot_dirty = true;
        self.outbox.mark_dirty();
        self.outbox.defer(outbox::Deferred::Install(snapshot));
    }
}
