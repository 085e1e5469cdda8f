//! The lanes of one rank, by service received and by backlog.

use std::collections::{BTreeSet, VecDeque};

use masticarch_model::{map, name};
use slotmap::SlotMap;

use crate::queue::{entry, flow};

/// Lanes without requests are removed when there are this many more than
/// lanes with requests.
const IDLE_FLOW_MARGIN: usize = 64;

/// The lanes of one rank.
#[derive(Debug, Default)]
pub struct Queue {
    flows: SlotMap<flow::FlowKey, flow::Flow>,
    teams: map::Map<Option<name::Name>, flow::FlowKey>,
    by_virtual_time: BTreeSet<(u64, flow::FlowKey)>,
    by_finish_time: BTreeSet<(u64, flow::FlowKey)>,
    /// Service per weight of the team served last: where a team that was idle
    /// joins in, so that it cannot save up service.
    virtual_time: u64,
}

impl Queue {
    /// The lane of a team, made when there is none.
    pub fn flow(&mut self, team: Option<&name::Name>, weight: u16) -> flow::FlowKey {
        let team = team.cloned();
        if let Some(key) = self.teams.get(&team).copied() {
            self.update(key, |flow| flow.weight = weight);
            return key;
        }
        self.prune();
        let key = self.flows.insert(flow::Flow {
            team: team.clone(),
            weight,
            virtual_time: self.virtual_time,
            waiting: 0,
            keys: VecDeque::new(),
        });
        self.teams.insert(team, key);
        key
    }

    /// Adds a request at the end of a lane.
    pub fn push(&mut self, key: flow::FlowKey, entry: entry::EntryKey) {
        let virtual_time = self.virtual_time;
        self.update(key, |flow| {
            if flow.waiting == 0 {
                flow.virtual_time = flow.virtual_time.max(virtual_time);
            }
            flow.waiting += 1;
            flow.keys.push_back(entry);
        });
    }

    /// The request that goes first: the oldest one of the team with the least
    /// service per weight.
    pub fn first(&self) -> Option<entry::EntryKey> {
        let (_, key) = self.by_virtual_time.first()?;
        self.flows[*key].keys.front().copied()
    }

    /// Charges a lane for the service of one request.
    pub fn charge(&mut self, key: flow::FlowKey) {
        self.virtual_time = self.virtual_time.max(self.flows[key].virtual_time);
        self.update(key, |flow| flow.virtual_time += flow.cost());
    }

    /// The newest request of the team with the largest backlog per weight, and
    /// that backlog.
    pub fn last(&self) -> Option<(entry::EntryKey, u64)> {
        let (finish_time, key) = self.by_finish_time.last()?;
        let entry = self.flows[*key].keys.back()?;
        Some((*entry, *finish_time))
    }

    /// The backlog per weight that a team would have with one more request.
    pub fn finish_time_with_one_more(&self, key: flow::FlowKey) -> u64 {
        let flow = &self.flows[key];
        flow.finish_time().max(self.virtual_time) + flow.cost()
    }

    /// Takes a request out of a lane; `waits` tells which keys still wait.
    pub fn remove(&mut self, key: flow::FlowKey, waits: impl Fn(entry::EntryKey) -> bool) {
        self.update(key, |flow| {
            flow.waiting -= 1;
            while flow.keys.front().is_some_and(|entry| !waits(*entry)) {
                flow.keys.pop_front();
            }
            while flow.keys.back().is_some_and(|entry| !waits(*entry)) {
                flow.keys.pop_back();
            }
        });
    }

    /// Changes a lane and its places in both orders.
    fn update(&mut self, key: flow::FlowKey, change: impl FnOnce(&mut flow::Flow)) {
        let flow = &mut self.flows[key];
        if flow.waiting > 0 {
            self.by_virtual_time.remove(&(flow.virtual_time, key));
            self.by_finish_time.remove(&(flow.finish_time(), key));
        }
        change(flow);
        if flow.waiting > 0 {
            self.by_virtual_time.insert((flow.virtual_time, key));
            self.by_finish_time.insert((flow.finish_time(), key));
        }
    }

    /// Forgets idle teams that are not ahead of the others.
    fn prune(&mut self) {
        if self.flows.len() < 2 * self.by_virtual_time.len() + IDLE_FLOW_MARGIN {
            return;
        }
        let virtual_time = self.virtual_time;
        let teams = &mut self.teams;
        self.flows.retain(|_, flow| {
            let keep = flow.waiting > 0 || flow.virtual_time > virtual_time;
            if !keep {
                teams.remove(&flow.team);
            }
            keep
        });
    }
}
