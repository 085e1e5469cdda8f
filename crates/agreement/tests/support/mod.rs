//! A group of members on virtual time, with a faulty network and faulty disks.

mod history;
mod member;
mod random;

use std::collections::BTreeMap;
use std::time::Duration;

use masticarch_agreement::{change, confirmation, effects, message, raft, role, snapshot};
use masticarch_model::member as model;

pub use member::learner;
pub use random::Seeded;

/// Faults of a simulated run.
#[derive(Clone, Copy)]
pub struct Faults {
    /// Share of messages lost.
    pub lost_percent: u64,
    /// Share of messages repeated.
    pub repeated_percent: u64,
    /// Longest delay of a message; delays reorder messages.
    pub max_delay_ms: u64,
    /// Share of messages that arrive up to 2 s late, after an election.
    pub late_percent: u64,
    /// Mean time between crashes, or 0 for none.
    pub crash_interval_ms: u64,
    /// Mean time between partitions, or 0 for none.
    pub partition_interval_ms: u64,
    /// Mean time between losses of a disk, or 0 for none.
    pub replace_interval_ms: u64,
}

impl Faults {
    /// A network that only delays.
    pub fn none() -> Self {
        Self {
            lost_percent: 0,
            repeated_percent: 0,
            max_delay_ms: 5,
            late_percent: 0,
            crash_interval_ms: 0,
            partition_interval_ms: 0,
            replace_interval_ms: 0,
        }
    }

    /// All kinds of faults at once.
    pub fn all() -> Self {
        Self {
            lost_percent: 8,
            repeated_percent: 8,
            max_delay_ms: 60,
            late_percent: 2,
            crash_interval_ms: 700,
            partition_interval_ms: 900,
            replace_interval_ms: 4000,
        }
    }
}

/// A message in flight.
struct Delivery {
    due: Duration,
    message: message::Message,
}

/// What held when a confirmation was requested; the confirmation must not fall
/// behind it.
struct Expected {
    min_term: u64,
    min_index: u64,
}

/// A group of members, its network and its clients.
pub struct Group {
    pub faults: Faults,
    pub random: Seeded,
    pub now: Duration,
    pub members: BTreeMap<model::Id, member::Member>,
    pub history: history::History,
    in_flight: Vec<Delivery>,
    /// Confirmations that are requested and neither given nor refused yet.
    requested: BTreeMap<(model::Id, confirmation::Id), Expected>,
    partitioned: Vec<model::Id>,
    partitioned_until: Duration,
    /// The member replaced last; stays set once the group has removed it.
    leaving: Option<model::Id>,
    next_id: u64,
    next_command: u64,
    pub confirmations: BTreeMap<model::Id, usize>,
    pub replacements: usize,
}

impl Group {
    /// A new group of `size` voters.
    pub fn new(size: u64, seed: u64, faults: Faults) -> Self {
        let mut random = Seeded::new(seed);
        let initial = snapshot::Snapshot::initial(member::initial_membership(size));
        let make = |id| {
            let member = member::Member::new(id, initial.clone(), random.fork());
            (id, member)
        };
        let members = (1..=size).map(model::Id).map(make).collect();
        Self {
            faults,
            random,
            now: Duration::ZERO,
            members,
            history: history::History::default(),
            in_flight: Vec::new(),
            requested: BTreeMap::new(),
            partitioned: Vec::new(),
            partitioned_until: Duration::ZERO,
            leaving: None,
            next_id: size + 1,
            next_command: 0,
            confirmations: BTreeMap::new(),
            replacements: 0,
        }
    }

    /// Lets virtual time pass in steps of 2 ms, with client traffic.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += Duration::from_millis(2);
            self.inject_faults();
            self.deliver();
            self.tick();
            self.request();
        }
    }

    /// Ends all faults, restarts every member and lets the group settle.
    pub fn heal(&mut self) {
        self.faults = Faults::none();
        self.partitioned.clear();
        self.run(Duration::from_secs(8));
    }

    /// The member that leads with the latest term.
    pub fn leader(&self) -> Option<model::Id> {
        let leaders = self.members.iter().filter(|(_, member)| member.leads());
        let latest = leaders.max_by_key(|(_, member)| member.term());
        latest.map(|(id, _)| *id)
    }

    /// Partitions a member from all others until [`Group::heal`].
    pub fn isolate(&mut self, id: model::Id) {
        self.partitioned = vec![id];
        self.partitioned_until = Duration::MAX;
    }

    /// Gives input to a running member and carries out the effects.
    pub fn input<T>(
        &mut self,
        id: model::Id,
        act: impl FnOnce(&mut raft::Raft<Seeded>, Duration) -> T,
    ) -> Option<T> {
        let now = self.now;
        let member = self.members.get_mut(&id)?;
        let output = act(member.raft.as_mut()?, now);
        let effects = member.raft.as_mut()?.take_effects();
        self.carry_out(id, effects);
        Some(output)
    }

    /// Requests a confirmation of leadership from a member.
    pub fn confirm(&mut self, id: model::Id) {
        let expected = Expected {
            min_term: self.history.latest_term(),
            min_index: self.history.last_index(),
        };
        let Some(Some(raft)) = self.members.get_mut(&id).map(|member| &mut member.raft) else {
            return;
        };
        if let Ok(confirmation) = raft.confirm_leadership() {
            self.requested.insert((id, confirmation), expected);
        }
        self.input(id, |_, _| ());
    }

    /// Proposes a command that no other proposal equals.
    pub fn propose(&mut self, id: model::Id) {
        self.next_command += 1;
        let command = self.next_command.to_le_bytes().to_vec();
        self.input(id, |raft, _| raft.propose(command));
    }

    /// Crashes a member; it loses what was not persisted.
    pub fn crash(&mut self, id: model::Id) {
        let pause = Duration::from_millis(self.random.below(800));
        let now = self.now;
        if let Some(member) = self.members.get_mut(&id) {
            member.crash(now + pause, &mut self.random);
        }
        self.requested.retain(|(owner, _), _| *owner != id);
    }

    /// Destroys a member with its disk, and starts another with a new id.
    pub fn replace(&mut self, id: model::Id) -> model::Id {
        self.crash(id);
        self.members.remove(&id);
        let new = model::Id(self.next_id);
        self.next_id += 1;
        let empty = snapshot::Snapshot::default();
        let member = member::Member::new(new, empty, self.random.fork());
        self.members.insert(new, member);
        self.leaving = Some(id);
        self.replacements += 1;
        new
    }

    fn carry_out(&mut self, id: model::Id, effects: effects::Effects) {
        let now = self.now;
        let delay = Duration::from_millis(self.random.below(12));
        let Some(member) = self.members.get_mut(&id) else {
            return;
        };
        if let Some(write) = effects.write {
            member.write(write, now + delay);
        }
        if let Some(status) = effects
            .status
            .filter(|status| status.role == role::Role::Leader)
        {
            self.history.elected(status.term, id);
            self.history.check_complete(&member.written);
        }
        if let Some(installed) = effects.installed {
            self.history.check_installed(&installed);
            member.install(&installed);
        }
        for entry in effects.committed {
            member.apply(&entry);
            self.history.commit(&entry);
        }
        let term = member.term();
        for confirmation in effects.confirmed {
            let expected = self.requested.remove(&(id, confirmation.id));
            let expected = expected.expect("a confirmation resolves once");
            assert!(
                expected.min_term <= term.0,
                "a deposed leader was confirmed"
            );
            assert!(expected.min_index <= confirmation.index.0, "stale read");
            *self.confirmations.entry(id).or_default() += 1;
        }
        for confirmation in effects.refused {
            self.requested.remove(&(id, confirmation));
        }
        effects
            .messages
            .into_iter()
            .for_each(|message| self.send(message));
    }

    fn send(&mut self, message: message::Message) {
        if self.random.percent(self.faults.repeated_percent) {
            self.transmit(message.clone());
        }
        self.transmit(message);
    }

    fn transmit(&mut self, message: message::Message) {
        if self.random.percent(self.faults.lost_percent) {
            return;
        }
        let late = self.random.percent(self.faults.late_percent);
        let longest = if late { 2000 } else { self.faults.max_delay_ms };
        let delay_ms = 1 + self.random.below(longest);
        let due = self.now + Duration::from_millis(delay_ms);
        self.in_flight.push(Delivery { due, message });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let mut due: Vec<_> = self
            .in_flight
            .extract_if(.., |delivery| delivery.due <= now)
            .collect();
        due.sort_by_key(|delivery| delivery.due);
        for Delivery { message, .. } in due {
            let crosses =
                self.partitioned.contains(&message.from) != self.partitioned.contains(&message.to);
            if !crosses {
                self.input(message.to, |raft, now| raft.receive(now, message));
            }
        }
    }

    fn tick(&mut self) {
        let ids: Vec<_> = self.members.keys().copied().collect();
        for id in ids {
            let now = self.now;
            let Some(member) = self.members.get_mut(&id) else {
                continue;
            };
            member.restart_if_due(now);
            if let Some(sequence) = member.finish_writes(now) {
                self.input(id, |raft, _| raft.persisted(sequence));
            }
            self.input(id, |raft, now| {
                if now >= raft.deadline() {
                    raft.tick(now);
                }
            });
        }
    }

    fn request(&mut self) {
        let ids: Vec<_> = self.members.keys().copied().collect();
        let id = ids[self.random.index(ids.len())];
        if self.random.percent(20) {
            self.propose(id);
        }
        if self.random.percent(20) {
            self.confirm(id);
        }
        if self.random.percent(2) {
            let (index, state) = self.members[&id].state();
            self.input(id, |raft, _| raft.compact(index, state.into()));
        }
        if self.random.percent(5) {
            self.repair_membership();
        }
    }

    /// Proposes the next change that replaces a lost member, if there is a leader.
    fn repair_membership(&mut self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let newest = model::Id(self.next_id - 1);
        let leaving = self.leaving;
        self.input(leader, |raft, _| {
            let known = raft.membership().clone();
            let step = match (
                known.find(newest),
                leaving.filter(|id| known.find(*id).is_some()),
            ) {
                (None, _) => Some(change::Change::AddLearner(member::learner(newest))),
                (Some(member), _) if !member.voter => Some(change::Change::Promote(newest)),
                (_, leaving) => leaving.map(change::Change::Remove),
            };
            step.map(|step| raft.propose_change(step));
        });
    }

    /// Whether the last replacement is committed. A second disk may be lost only
    /// after that, or a majority of the voters could be gone for good.
    pub fn is_repaired(&self) -> bool {
        let Some(leaving) = self.leaving else {
            return true;
        };
        let newest = model::Id(self.next_id - 1);
        let membership = self.history.membership();
        membership.find(leaving).is_none() && membership.is_voter(newest)
    }

    fn inject_faults(&mut self) {
        let ids: Vec<_> = self.members.keys().copied().collect();
        let victim = ids[self.random.index(ids.len())];
        if self.random.once_in(self.faults.crash_interval_ms / 2) {
            self.crash(victim);
        }
        if self.random.once_in(self.faults.replace_interval_ms / 2) && self.is_repaired() {
            self.replace(victim);
        }
        if self.now >= self.partitioned_until {
            self.partitioned.clear();
        }
        if self.random.once_in(self.faults.partition_interval_ms / 2) {
            let random = &mut self.random;
            self.partitioned = ids.into_iter().filter(|_| random.percent(40)).collect();
            self.partitioned_until = self.now + Duration::from_millis(self.random.below(1500));
        }
    }
}
