//! The task that runs the Raft state of a member: it feeds messages, time and
//! finished writes to the state and carries out the effects.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use futures::{FutureExt, StreamExt};
use masticarch_agreement::{
    change, effects, entry, index, message as raft_message, options as raft_options, payload,
    position, raft, random, refusal, role, snapshot as raft_snapshot, status as raft_status, term,
};
use masticarch_kernel::{address, error, mailbox, reply, stop};
use masticarch_model::{code, map, member};
use masticarch_store::completion;
use masticarch_wire::message::{self as wire, status as wire_status};

use super::{envelope, event, message, outgoing, pending, status};
use crate::{journal, options};

/// Entries between snapshots. It bounds the number of entries that a restart has
/// to apply.
const SNAPSHOT_ENTRIES: u64 = 4096;
/// Size in bytes of the entries between snapshots, unless the state itself is larger.
/// It bounds what a restart has to read, and how much of the log is kept in memory.
const SNAPSHOT_BYTES: usize = 16 << 20;
/// Time after which a silent voter is removed in favour of a process that waits to
/// become a voter.
const SILENT_VOTER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of messages handled together, so that they share a write and a
/// round.
const MAX_BATCH_MESSAGES: usize = 256;
/// Size in bytes of the messages to one member in one turn from which on they are logged.
const LOGGED_BYTES: usize = 1 << 20;

/// Source of randomness for election timeouts, which need not be unpredictable.
struct Random(fastrand::Rng);

impl random::Random for Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0.u64(0..limit)
    }
}

/// An input of the task.
enum Input {
    Message(message::Message),
    Completion(completion::Completion),
    Snapshot(Option<event::Snapshot>),
    Timer,
    Stop,
}

/// Runs the Raft state of one member. `E` is the message type of the state machine,
/// `O` that of the service that sends to other members.
pub struct Service<E, O> {
    id: member::Id,
    /// Address under which others reach this member.
    address: SocketAddr,
    /// Last known addresses of the members that have sent messages.
    senders: map::Map<member::Id, SocketAddr>,
    start: Instant,
    raft: raft::Raft<Random>,
    journal: journal::Journal,
    state_machine: address::Address<E>,
    outbound: address::Address<O>,
    pending: pending::Pending,
    /// Index of the last entry that was sent to the state machine.
    sent: index::Index,
    /// Index of the newest snapshot, or `sent` at the last failure to take one. The
    /// next snapshot is due [`SNAPSHOT_ENTRIES`] later.
    snapshot_index: index::Index,
    /// Size in bytes of the newest snapshot.
    snapshot_bytes: usize,
    /// Size in bytes of the commands that were sent to the state machine since the
    /// last snapshot was requested or installed.
    sent_bytes: usize,
    /// The snapshot that was requested from the state machine.
    snapshot: Option<oneshot::Receiver<Option<event::Snapshot>>>,
    /// Term that this member leads, as last reported to the state machine.
    leading: Option<term::Term>,
    /// Last term for which [`event::Event::CaughtUp`] was sent.
    caught_up: Option<term::Term>,
    /// Whether the storage has failed.
    failed: bool,
    /// Dropped when the storage has failed.
    failure_sender: Option<oneshot::Sender<()>>,
    /// Maximum number of voters in the group.
    max_voters: usize,
}

impl<E, O> Service<E, O>
where
    E: From<event::Event>,
    O: From<outgoing::Outgoing>,
{
    /// Makes the service of a member from its journal.
    #[must_use]
    pub fn new(
        options: &options::Options,
        mut journal: journal::Journal,
        state_machine: address::Address<E>,
        outbound: address::Address<O>,
        failure_sender: oneshot::Sender<()>,
    ) -> Self {
        let recovered = std::mem::take(&mut journal.recovered);
        let snapshot_index = recovered.snapshot.meta.position.index;
        let snapshot_bytes = recovered.snapshot.data.len();
        let id = options.id;
        let raft_options = raft_options::Options::default();
        let random = Random(fastrand::Rng::new());
        let raft = raft::Raft::new(id, raft_options, recovered, random, Duration::ZERO);
        Self {
            id,
            address: options.advertised_address(),
            senders: map::Map::default(),
            start: Instant::now(),
            raft,
            journal,
            state_machine,
            outbound,
            pending: pending::Pending::default(),
            sent: index::Index(0),
            snapshot_index,
            snapshot_bytes,
            sent_bytes: 0,
            snapshot: None,
            leading: None,
            caught_up: None,
            failed: false,
            failure_sender: Some(failure_sender),
            max_voters: options.max_voters,
        }
    }

    /// Takes part in the group until the service is asked to stop, or the state
    /// machine has stopped.
    pub async fn run(mut self, mut mailbox: mailbox::Mailbox<message::Message>, stop: stop::Stop) {
        while self.apply_effects().await.is_ok() {
            match self.wait(&mut mailbox, &stop).await {
                Input::Message(first) => self.handle_batch(first, &mut mailbox),
                Input::Completion(report) => self.handle_completion(report).await,
                Input::Snapshot(taken) => self.compact(taken),
                Input::Timer => self.tick(),
                Input::Stop => return,
            }
        }
    }

    /// Waits for the next input. The timer comes before messages, so that a leader
    /// that was suspended steps down before it answers.
    async fn wait(
        &mut self,
        mailbox: &mut mailbox::Mailbox<message::Message>,
        stop: &stop::Stop,
    ) -> Input {
        let deadline = self.raft.deadline();
        let pause = deadline.saturating_sub(self.start.elapsed());
        let failed = self.failed;
        let timer = async {
            if failed {
                futures::future::pending::<()>().await;
            }
            monoio::time::sleep(pause).await;
        };
        futures::select_biased! {
            () = stop.wait().fuse() => Input::Stop,
            report = self.journal.completions.select_next_some() => Input::Completion(report),
            () = timer.fuse() => Input::Timer,
            taken = snapshot(&mut self.snapshot).fuse() => Input::Snapshot(taken),
            message = mailbox.receive().fuse() => message.map_or(Input::Stop, Input::Message),
        }
    }

    /// Handles a message and those that are already in the mailbox.
    fn handle_batch(
        &mut self,
        first: message::Message,
        mailbox: &mut mailbox::Mailbox<message::Message>,
    ) {
        self.handle(first);
        for _ in 1..MAX_BATCH_MESSAGES {
            let Some(message) = mailbox.try_receive() else {
                return;
            };
            self.handle(message);
        }
    }

    fn handle(&mut self, message: message::Message) {
        match message {
            message::Message::Propose(command, reply) => {
                let waiter = pending::Waiter::Command(reply);
                self.propose(waiter, |raft| raft.propose(command));
            }
            message::Message::Confirm(round, reply) => self.confirm(round, reply),
            message::Message::Status(reply) => drop(reply.send(self.status())),
            message::Message::AddLearner(member, reply) => {
                self.change(change::Change::AddLearner(member), reply);
            }
            message::Message::Promote(id, reply) => {
                self.change(change::Change::Promote(id), reply);
            }
            message::Message::Remove(id, reply) => {
                self.change(change::Change::Remove(id), reply);
            }
            message::Message::Deliver(bytes) => self.receive(&bytes),
        }
    }

    fn confirm(&mut self, round: message::Round, reply: reply::Reply<Result<(), code::Code>>) {
        let request = match round {
            message::Round::Immediate => raft::Raft::confirm_leadership,
            message::Round::Heartbeat => raft::Raft::confirm_leadership_by_heartbeat,
        };
        match self.with_raft(request) {
            Ok(id) => self.pending.add_confirmation(id, reply),
            Err(code) => drop(reply.send(Err(code))),
        }
    }

    fn change(&mut self, change: change::Change, reply: reply::Reply<Result<(), code::Code>>) {
        let waiter = pending::Waiter::Change(reply);
        self.propose(waiter, |raft| raft.propose_change(change));
    }

    fn propose(
        &mut self,
        waiter: pending::Waiter,
        append: impl FnOnce(&mut raft::Raft<Random>) -> Result<position::Position, refusal::Refusal>,
    ) {
        match self.with_raft(append) {
            Ok(position) => self.pending.add_proposal(position, waiter),
            Err(code) => waiter.resolve(Err(code)),
        }
    }

    /// Calls the Raft state, unless the storage has failed.
    fn with_raft<T>(
        &mut self,
        act: impl FnOnce(&mut raft::Raft<Random>) -> Result<T, refusal::Refusal>,
    ) -> Result<T, code::Code> {
        if self.failed {
            return Err(code::Code::StorageFailed);
        }
        act(&mut self.raft).map_err(code_of)
    }

    fn receive(&mut self, bytes: &[u8]) {
        if self.failed {
            return;
        }
        match wire::decode::<envelope::Envelope>(bytes) {
            Ok(envelope::Envelope::Raft(address, message)) => {
                self.senders.insert(message.from, address);
                self.raft.receive(self.start.elapsed(), message);
            }
            Ok(envelope::Envelope::Join(joiner, delivery)) => self.handle_join(joiner, delivery),
            Err(failure) => tracing::warn!(error = %failure, "undecodable message dropped"),
        }
    }

    /// Proposes the next change that brings a joining process closer to a vote, or
    /// forwards the request to the leader. The process repeats its request, so a
    /// refusal needs no answer.
    fn handle_join(&mut self, joiner: member::Member, delivery: envelope::Delivery) {
        match self
            .raft
            .handle_join(&joiner, self.max_voters, SILENT_VOTER_TIMEOUT)
        {
            Ok(Some(position)) => tracing::info!(
                member = joiner.id.0,
                address = %joiner.address,
                index = position.index.0,
                "member change proposed for a joining process"
            ),
            Err(refusal::Refusal::NotLeader(Some(leader)))
                if delivery == envelope::Delivery::Direct =>
            {
                self.forward(leader, joiner);
            }
            _ => {}
        }
    }

    /// Forwards a join request to the leader.
    fn forward(&self, to: member::Id, joiner: member::Member) {
        let Some(address) = self.address_of(to) else {
            return;
        };
        let envelope = envelope::Envelope::Join(joiner, envelope::Delivery::Forwarded);
        let bytes = wire::encode(&envelope);
        let _ = self
            .outbound
            .try_send(outgoing::Outgoing { to, address, bytes }.into());
    }

    fn tick(&mut self) {
        self.pending.drop_abandoned();
        self.raft.tick(self.start.elapsed());
    }

    async fn handle_completion(&mut self, report: completion::Completion) {
        match report {
            completion::Completion::Persisted(number) => {
                self.raft.persisted(journal::sequence(number));
            }
            completion::Completion::Failed(failure) => {
                tracing::error!(error = %failure, "storage failed; this member stops taking part");
                self.fail().await;
            }
        }
    }

    /// Stops taking part in the group, because anything that this member acknowledged
    /// from here on could be lost.
    async fn fail(&mut self) {
        self.failed = true;
        self.failure_sender = None;
        self.pending.fail_all();
        if self.leading.take().is_some() {
            let _ = self
                .notify(event::Event::Role(event::Leadership::None))
                .await;
        }
    }

    fn compact(&mut self, taken: Option<event::Snapshot>) {
        let Some(taken) = taken else {
            tracing::error!("the state machine returned no snapshot; the log is not compacted");
            self.snapshot_index = self.sent;
            return;
        };
        let index = index::Index(taken.index);
        self.snapshot_index = self.snapshot_index.max(index);
        self.snapshot_bytes = taken.bytes.len();
        self.raft.compact(index, taken.bytes);
    }

    /// Carries out the effects of the inputs: writes, messages, events and replies.
    async fn apply_effects(&mut self) -> Result<(), error::Error> {
        if self.failed {
            return Ok(());
        }
        let effects = self.raft.take_effects();
        self.persist(&effects);
        self.send(effects.messages);
        if let Some(status) = effects.status {
            self.report_role(status).await?;
        }
        if let Some(installed) = effects.installed {
            self.install(installed).await?;
        }
        for entry in effects.committed {
            self.commit(entry).await?;
        }
        for confirmation in effects.confirmed {
            self.pending.mark_confirmed(confirmation);
        }
        for id in effects.refused {
            self.pending.refuse(id);
        }
        self.pending.resolve_confirmed(self.sent);
        self.request_snapshot().await
    }

    fn persist(&mut self, effects: &effects::Effects) {
        if let Some(write) = &effects.write {
            // A writer that has ended has already reported its failure.
            let _ = self.journal.writer.send(journal::encode(write));
        }
    }

    fn send(&self, messages: Vec<raft_message::Message>) {
        let mut queued = map::Map::<member::Id, usize>::default();
        for message in messages {
            let Some(address) = self.address_of(message.to) else {
                continue;
            };
            let to = message.to;
            let bytes = wire::encode(&envelope::Envelope::Raft(self.address, message));
            *queued.entry(to).or_default() += bytes.len();
            let outgoing = outgoing::Outgoing { to, address, bytes };
            // A full mailbox counts as a lost message, which Raft sends again.
            let _ = self.outbound.try_send(outgoing.into());
        }
        for (member, bytes) in queued {
            if bytes >= LOGGED_BYTES {
                tracing::info!(
                    member = member.0,
                    bytes,
                    "large messages queued for a member"
                );
            }
        }
    }

    /// The address of a member, from the log or else from its own messages.
    fn address_of(&self, id: member::Id) -> Option<SocketAddr> {
        let member = self.raft.membership().find(id);
        let known = member.map(|member| member.address);
        known.or_else(|| self.senders.get(&id).copied())
    }

    async fn report_role(&mut self, status: raft_status::Status) -> Result<(), error::Error> {
        let leading = (status.role == role::Role::Leader).then_some(status.term);
        if leading == self.leading {
            return Ok(());
        }
        tracing::info!(
            term = status.term.0,
            leads = leading.is_some(),
            "role changed"
        );
        self.leading = leading;
        let leadership = match leading {
            None => event::Leadership::None,
            Some(_) if status.is_first_leader => event::Leadership::First,
            Some(_) => event::Leadership::Later,
        };
        self.notify(event::Event::Role(leadership)).await
    }

    async fn install(&mut self, installed: raft_snapshot::Snapshot) -> Result<(), error::Error> {
        let index = installed.meta.position.index;
        self.pending.fail_covered(index);
        self.sent = index;
        self.snapshot_index = index;
        let bytes = installed.data;
        self.snapshot_bytes = bytes.len();
        self.sent_bytes = 0;
        let index = index.0;
        self.notify(event::Event::Install(event::Snapshot { index, bytes }))
            .await
    }

    async fn commit(&mut self, entry: entry::Entry) -> Result<(), error::Error> {
        let position = entry.position;
        let index = position.index.0;
        let event = match entry.payload {
            payload::Payload::Command(command) => {
                self.sent_bytes += command.len();
                event::Event::Committed(index, command)
            }
            payload::Payload::Empty => event::Event::Committed(index, Arc::default()),
            payload::Payload::Members(members) => {
                let addresses = members.iter().map(|member| member.address);
                event::Event::Members(index, addresses.collect())
            }
        };
        self.sent = position.index;
        if self.leading == Some(position.term) && self.caught_up != self.leading {
            self.caught_up = self.leading;
            self.notify(event::Event::CaughtUp).await?;
        }
        self.notify(event).await?;
        self.pending.resolve_committed(position);
        Ok(())
    }

    async fn request_snapshot(&mut self) -> Result<(), error::Error> {
        let due = self.sent.0 >= self.snapshot_index.0 + SNAPSHOT_ENTRIES
            || self.sent_bytes >= SNAPSHOT_BYTES.max(self.snapshot_bytes);
        if !due || self.snapshot.is_some() {
            return Ok(());
        }
        self.sent_bytes = 0;
        let (reply, taken) = reply::Reply::new();
        self.snapshot = Some(taken);
        self.notify(event::Event::TakeSnapshot(reply)).await
    }

    async fn notify(&self, event: event::Event) -> Result<(), error::Error> {
        self.state_machine.send(event.into()).await
    }

    fn status(&self) -> status::Status {
        let status = self.raft.status();
        let membership = self.raft.membership();
        // A member whose storage has failed no longer follows elections, so the
        // leader that it knows may be outdated.
        let known = status.leader.filter(|_| !self.failed);
        let leader = known.and_then(|id| membership.find(id));
        let role = match status.role {
            role::Role::Leader if !self.failed => status::Role::Leader,
            role::Role::PreCandidate | role::Role::Candidate => status::Role::Candidate,
            _ if membership.is_voter(self.id) => status::Role::Follower,
            _ => status::Role::Learner,
        };
        status::Status {
            role,
            term: status.term.0,
            leader: leader.map(|member| member.address),
            members: membership
                .iter()
                .map(|member| self.member_status(member))
                .collect(),
        }
    }

    fn member_status(&self, member: &member::Member) -> wire_status::Control {
        let leads = self.raft.status().leader == Some(member.id);
        let peers = self.raft.peers();
        let peer = peers.iter().find(|peer| peer.id == member.id);
        let own = (member.id == self.id).then(|| self.raft.durable());
        let matched = own.or(peer.map(|peer| peer.matched)).unwrap_or_default();
        let silent = peer.map_or(Duration::ZERO, |peer| peer.silent);
        wire_status::Control {
            member: member.clone(),
            leads,
            matched: matched.0,
            silent_ms: u64::try_from(silent.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// Waits for the requested snapshot; never resolves if none is pending.
async fn snapshot(
    pending: &mut Option<oneshot::Receiver<Option<event::Snapshot>>>,
) -> Option<event::Snapshot> {
    let Some(receiver) = pending else {
        return futures::future::pending().await;
    };
    let taken = receiver.await.ok().flatten();
    *pending = None;
    taken
}

fn code_of(refusal: refusal::Refusal) -> code::Code {
    match refusal {
        refusal::Refusal::NotLeader(_) => code::Code::NotLeader,
        refusal::Refusal::Busy => code::Code::NoQuorum,
        _ => code::Code::MemberChangeRefused,
    }
}
