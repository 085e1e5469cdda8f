//! The task that owns the agreement state.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use futures::{FutureExt, StreamExt};
use masticarch_agreement::{
    change, effects, entry, index, message as agreed, options as agreed_options, payload, position,
    raft, random, refusal, role, snapshot as agreed_snapshot, status as agreed_status, term,
};
use masticarch_kernel::{address, error, mailbox, reply, stop};
use masticarch_model::{code, map, member};
use masticarch_store::completion;
use masticarch_wire::message::{self as wire, status as wire_status};

use super::{envelope, event, message, outgoing, status, waiting};
use crate::{journal, options};

/// Entries between snapshots. Bounds what a restart has to apply, however many
/// changes came before.
const SNAPSHOT_ENTRIES: u64 = 4096;
/// Time after which a silent voter gives way to a process that waits for a seat.
const SILENCE: Duration = Duration::from_secs(2);
/// Requests taken at once, so that they share a write and a round.
const BURST: usize = 256;

/// Election timeouts need spread, not secrecy.
struct Random(fastrand::Rng);

impl random::Random for Random {
    fn below(&mut self, limit: u64) -> u64 {
        self.0.u64(0..limit)
    }
}

/// What a turn of the task begins with.
enum Input {
    Message(message::Message),
    Completion(completion::Completion),
    Snapshot(Option<event::Snapshot>),
    Time,
    Stop,
}

/// Owner of the agreement state. `E` is the message type of the owner of the
/// replicated state, `O` that of the service that sends to other members.
pub struct Service<E, O> {
    id: member::Id,
    /// Address under which others reach this member.
    address: SocketAddr,
    /// Addresses of the members that sent messages.
    senders: map::Map<member::Id, SocketAddr>,
    start: Instant,
    agreement: raft::Raft<Random>,
    journal: journal::Journal,
    owner: address::Address<E>,
    outbound: address::Address<O>,
    waiting: waiting::Waiting,
    /// Last index that the owner of the state was sent.
    sent: index::Index,
    /// Index of the newest snapshot.
    covered: index::Index,
    snapshot: Option<oneshot::Receiver<Option<event::Snapshot>>>,
    /// Term of which the owner of the state was told that this member leads.
    leading: Option<term::Term>,
    /// Term of which the owner of the state was told that it has begun.
    begun: Option<term::Term>,
    failed: bool,
    /// Dropped when the storage has failed.
    storage: Option<oneshot::Sender<()>>,
    /// Most members that vote.
    seats: usize,
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
        owner: address::Address<E>,
        outbound: address::Address<O>,
        storage: oneshot::Sender<()>,
    ) -> Self {
        let recovered = std::mem::take(&mut journal.recovered);
        let covered = recovered.snapshot.meta.position.index;
        let id = options.id;
        let agreed = agreed_options::Options::default();
        let random = Random(fastrand::Rng::new());
        let agreement = raft::Raft::new(id, agreed, recovered, random, Duration::ZERO);
        Self {
            id,
            address: options.reachable(),
            senders: map::Map::default(),
            start: Instant::now(),
            agreement,
            journal,
            owner,
            outbound,
            waiting: waiting::Waiting::default(),
            sent: index::Index(0),
            covered,
            snapshot: None,
            leading: None,
            begun: None,
            failed: false,
            storage: Some(storage),
            seats: options.seats,
        }
    }

    /// Takes part in the group until it is asked to stop, or the owner of the
    /// state has stopped.
    pub async fn run(mut self, mut mailbox: mailbox::Mailbox<message::Message>, stop: stop::Stop) {
        while self.carry_out().await.is_ok() {
            match self.wait(&mut mailbox, &stop).await {
                Input::Message(first) => self.take(first, &mut mailbox),
                Input::Completion(report) => self.complete(report).await,
                Input::Snapshot(taken) => self.compact(taken),
                Input::Time => self.tick(),
                Input::Stop => return,
            }
        }
    }

    /// Waits for the next input. Time comes before messages, so that a leader
    /// that was held up steps down before it answers.
    async fn wait(
        &mut self,
        mailbox: &mut mailbox::Mailbox<message::Message>,
        stop: &stop::Stop,
    ) -> Input {
        let deadline = self.agreement.deadline();
        let pause = deadline.saturating_sub(self.start.elapsed());
        let failed = self.failed;
        let time = async {
            if failed {
                futures::future::pending::<()>().await;
            }
            monoio::time::sleep(pause).await;
        };
        futures::select_biased! {
            () = stop.wait().fuse() => Input::Stop,
            report = self.journal.completions.select_next_some() => Input::Completion(report),
            () = time.fuse() => Input::Time,
            taken = snapshot(&mut self.snapshot).fuse() => Input::Snapshot(taken),
            message = mailbox.receive().fuse() => message.map_or(Input::Stop, Input::Message),
        }
    }

    /// Takes a message and those that wait already.
    fn take(&mut self, first: message::Message, mailbox: &mut mailbox::Mailbox<message::Message>) {
        self.handle(first);
        for _ in 1..BURST {
            let Some(message) = mailbox.try_receive() else {
                return;
            };
            self.handle(message);
        }
    }

    fn handle(&mut self, message: message::Message) {
        match message {
            message::Message::Propose(command, reply) => {
                let slot = waiting::Slot::Command(reply);
                self.propose(slot, |agreement| agreement.propose(command));
            }
            message::Message::Confirm(pace, reply) => self.confirm(pace, reply),
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
            message::Message::Agree(bytes) => self.agree(&bytes),
        }
    }

    fn confirm(&mut self, pace: message::Pace, reply: reply::Reply<Result<(), code::Code>>) {
        let draw = match pace {
            message::Pace::Now => raft::Raft::confirm_leadership,
            message::Pace::Heartbeat => raft::Raft::confirm_leadership_by_heartbeat,
        };
        match self.active(draw) {
            Ok(id) => self.waiting.confirm(id, reply),
            Err(code) => drop(reply.send(Err(code))),
        }
    }

    fn change(&mut self, change: change::Change, reply: reply::Reply<Result<(), code::Code>>) {
        let slot = waiting::Slot::Change(reply);
        self.propose(slot, |agreement| agreement.propose_change(change));
    }

    fn propose(
        &mut self,
        slot: waiting::Slot,
        append: impl FnOnce(&mut raft::Raft<Random>) -> Result<position::Position, refusal::Refusal>,
    ) {
        match self.active(append) {
            Ok(position) => self.waiting.propose(position, slot),
            Err(code) => slot.resolve(Err(code)),
        }
    }

    /// Gives input to the agreement, unless the storage has failed.
    fn active<T>(
        &mut self,
        act: impl FnOnce(&mut raft::Raft<Random>) -> Result<T, refusal::Refusal>,
    ) -> Result<T, code::Code> {
        if self.failed {
            return Err(code::Code::StorageFailed);
        }
        act(&mut self.agreement).map_err(code_of)
    }

    fn agree(&mut self, bytes: &[u8]) {
        if self.failed {
            return;
        }
        match wire::decode::<envelope::Envelope>(bytes) {
            Ok(envelope::Envelope::Agreement(address, message)) => {
                self.senders.insert(message.from, address);
                self.agreement.receive(self.start.elapsed(), message);
            }
            Ok(envelope::Envelope::Enrolment(newcomer, passage)) => self.enrol(newcomer, passage),
            Err(failure) => tracing::warn!(error = %failure, "agreement message dropped"),
        }
    }

    /// Takes the next step towards a vote for a process that asks to take part.
    /// The process asks again, so a step that is refused now needs no answer.
    fn enrol(&mut self, newcomer: member::Member, passage: envelope::Passage) {
        match self.agreement.handle_join(&newcomer, self.seats, SILENCE) {
            Ok(Some(position)) => tracing::info!(
                member = newcomer.id.0,
                address = %newcomer.address,
                index = position.index.0,
                "member taken in by a further step"
            ),
            Err(refusal::Refusal::NotLeader(Some(leader)))
                if passage == envelope::Passage::Direct =>
            {
                self.forward(leader, newcomer);
            }
            _ => {}
        }
    }

    /// Passes a request to take part on to the leader.
    fn forward(&self, to: member::Id, newcomer: member::Member) {
        let Some(address) = self.address_of(to) else {
            return;
        };
        let envelope = envelope::Envelope::Enrolment(newcomer, envelope::Passage::Forwarded);
        let bytes = wire::encode(&envelope);
        let _ = self
            .outbound
            .try_send(outgoing::Outgoing { to, address, bytes }.into());
    }

    fn tick(&mut self) {
        self.waiting.forget_abandoned();
        self.agreement.tick(self.start.elapsed());
    }

    async fn complete(&mut self, report: completion::Completion) {
        match report {
            completion::Completion::Persisted(number) => {
                self.agreement.persisted(journal::sequence(number));
            }
            completion::Completion::Failed(failure) => {
                tracing::error!(error = %failure, "storage failed; this member stops taking part");
                self.fail().await;
            }
        }
    }

    /// Stops taking part: whatever this member promised now could be lost.
    async fn fail(&mut self) {
        self.failed = true;
        self.storage = None;
        self.waiting.fail();
        if self.leading.take().is_some() {
            let _ = self.tell(event::Event::Role(event::Leadership::None)).await;
        }
    }

    fn compact(&mut self, taken: Option<event::Snapshot>) {
        let Some(taken) = taken else {
            tracing::error!("no snapshot was made; the log keeps growing");
            self.covered = self.sent;
            return;
        };
        let index = index::Index(taken.index);
        self.covered = self.covered.max(index);
        self.agreement.compact(index, &taken.bytes);
    }

    /// Carries out what the inputs have led to.
    async fn carry_out(&mut self) -> Result<(), error::Error> {
        if self.failed {
            return Ok(());
        }
        let effects = self.agreement.take_effects();
        self.persist(&effects);
        self.send(effects.messages);
        if let Some(status) = effects.status {
            self.report(status).await?;
        }
        if let Some(installed) = effects.installed {
            self.install(installed).await?;
        }
        for entry in effects.committed {
            self.commit(entry).await?;
        }
        for confirmation in effects.confirmed {
            self.waiting.confirmed(confirmation);
        }
        for id in effects.refused {
            self.waiting.refused(id);
        }
        self.waiting.sent(self.sent);
        self.request_snapshot().await
    }

    fn persist(&mut self, effects: &effects::Effects) {
        if let Some(write) = &effects.write {
            // A writer that has ended has sent its failure already.
            let _ = self.journal.writer.send(journal::encode(write));
        }
    }

    fn send(&self, messages: Vec<agreed::Message>) {
        for message in messages {
            let Some(address) = self.address_of(message.to) else {
                continue;
            };
            let to = message.to;

            let bytes = wire::encode(&envelope::Envelope::Agreement(self.address, message));
            let outgoing = outgoing::Outgoing { to, address, bytes };
            // A full mailbox counts as a loss, which the agreement makes good.
            let _ = self.outbound.try_send(outgoing.into());
        }
    }

    /// Where a member is reached: as the log says, or as its messages say.
    fn address_of(&self, id: member::Id) -> Option<SocketAddr> {
        let member = self.agreement.membership().find(id);
        let known = member.map(|member| member.address);
        known.or_else(|| self.senders.get(&id).copied())
    }

    async fn report(&mut self, status: agreed_status::Status) -> Result<(), error::Error> {
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
        self.tell(event::Event::Role(leadership)).await
    }

    async fn install(&mut self, installed: agreed_snapshot::Snapshot) -> Result<(), error::Error> {
        let index = installed.meta.position.index;
        self.waiting.skipped(index);
        self.sent = index;
        self.covered = index;
        let bytes = installed.data.to_vec();
        let index = index.0;
        self.tell(event::Event::Install(event::Snapshot { index, bytes }))
            .await
    }

    async fn commit(&mut self, entry: entry::Entry) -> Result<(), error::Error> {
        let position = entry.position;
        let index = position.index.0;
        let event = match entry.payload {
            payload::Payload::Command(command) => event::Event::Committed(index, command),
            payload::Payload::Empty => event::Event::Committed(index, Vec::new()),
            payload::Payload::Members(members) => {
                let addresses = members.iter().map(|member| member.address);
                event::Event::Members(index, addresses.collect())
            }
        };
        self.sent = position.index;
        if self.leading == Some(position.term) && self.begun != self.leading {
            self.begun = self.leading;
            self.tell(event::Event::Begun).await?;
        }
        self.tell(event).await?;
        self.waiting.committed(position);
        Ok(())
    }

    async fn request_snapshot(&mut self) -> Result<(), error::Error> {
        let due = self.sent.0 >= self.covered.0 + SNAPSHOT_ENTRIES;
        if !due || self.snapshot.is_some() {
            return Ok(());
        }
        let (slot, taken) = reply::Reply::new();
        self.snapshot = Some(taken);
        self.tell(event::Event::TakeSnapshot(slot)).await
    }

    async fn tell(&self, event: event::Event) -> Result<(), error::Error> {
        self.owner.send(event.into()).await
    }

    fn status(&self) -> status::Status {
        let seen = self.agreement.status();
        let membership = self.agreement.membership();
        // A member whose storage failed no longer follows the elections.
        let known = seen.leader.filter(|_| !self.failed);
        let leader = known.and_then(|id| membership.find(id));
        let role = match seen.role {
            role::Role::Leader if !self.failed => status::Role::Leader,
            role::Role::PreCandidate | role::Role::Candidate => status::Role::Candidate,
            _ if membership.is_voter(self.id) => status::Role::Follower,
            _ => status::Role::Learner,
        };
        status::Status {
            role,
            term: seen.term.0,
            leader: leader.map(|member| member.address),
            members: membership
                .iter()
                .map(|member| self.describe(member))
                .collect(),
        }
    }

    fn describe(&self, member: &member::Member) -> wire_status::Control {
        let leads = self.agreement.status().leader == Some(member.id);
        let peers = self.agreement.peers();
        let peer = peers.iter().find(|peer| peer.id == member.id);
        let own = (member.id == self.id).then(|| self.agreement.durable());
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

/// Waits for a snapshot that was asked for, and forever if none was.
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
