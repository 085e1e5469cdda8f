//! What a member does for its leader.

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
        self.follow(from);
        if previous.index > self.commit && !self.log.contains(previous) {
            self.reject(from, previous.index);
            return;
        }
        let end = entries.last().map_or(previous, |last| last.position).index;
        for entry in entries {
            self.take_entry(entry);
        }
        self.advance(commit.min(end));
        let matched = end.max(self.commit);
        self.send_durable(from, message::Body::Appended { matched });
    }

    pub(super) fn on_heartbeat(&mut self, from: member::Id, round: u64, commit: index::Index) {
        self.follow(from);
        self.advance(commit);
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
        self.follow(from);
        let index = meta.position.index;
        if self.log.contains(meta.position) {
            self.advance(index);
        }
        if index <= self.commit {
            self.assembly = None;
            let matched = self.commit;
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
    fn advance(&mut self, commit: index::Index) {
        self.commit = self.commit.max(commit.min(self.log.last().index));
    }

    fn follow(&mut self, leader: member::Id) {
        self.heard = Some(self.now);
        self.delay_election();
        self.become_follower(Some(leader));
    }

    /// Takes one entry of the leader. Committed entries are the same everywhere,
    /// so a repeated or late message cannot touch them.
    fn take_entry(&mut self, entry: entry::Entry) {
        let index = entry.position.index;
        if index <= self.commit || self.log.contains(entry.position) {
            return;
        }
        if index <= self.log.last().index {
            self.log.truncate(index);
            self.outbox.truncate(index);
        }
        self.log.push(entry);
        self.outbox.mark_dirty();
    }

    fn reject(&mut self, to: member::Id, previous: index::Index) {
        let last = if previous > self.log.last().index {
            self.log.last().index
        } else {
            self.log.first_of_term(previous).previous()
        };
        let last = last.max(self.commit);
        self.send(to, message::Body::Rejected { previous, last });
    }

    fn assemble(&mut self, meta: snapshot::Meta, offset: u64, total: u64, data: &[u8]) -> u64 {
        let fits = |assembly: &assembly::Assembly| assembly.fits(&meta, total);
        if !self.assembly.as_ref().is_some_and(fits) {
            self.assembly = Some(assembly::Assembly::new(meta, total));
        }
        let Some(assembly) = &mut self.assembly else {
            return 0;
        };
        assembly.take(offset, data);
        assembly.received()
    }

    /// Replaces the log by the received snapshot.
    fn install(&mut self) {
        let Some(assembly) = self.assembly.take() else {
            return;
        };
        let snapshot = assembly.finish();
        self.commit = snapshot.meta.position.index;
        self.log.reset(snapshot.clone());
        self.outbox.truncate(index::Index(1));
        self.snapshot_dirty = true;
        self.outbox.mark_dirty();
        self.outbox.defer(outbox::Deferred::Install(snapshot));
    }
}
