//! Weighted fair queue of the teams within one rank.

use std::collections::{BTreeSet, VecDeque};

use masticarch_model::{map, name};
use slotmap::SlotMap;

use crate::queue::{entry, flow};

/// Flows without requests are removed when they outnumber those with requests by
/// this many.
const IDLE_FLOW_MARGIN: usize = 64;

/// The flows of one rank, ordered by virtual time and by virtual finish time.
#[derive(Debug, Default)]
pub struct Queue {
    flows: SlotMap<flow::FlowKey, flow::Flow>,
    teams: map::Map<Option<name::Name>, flow::FlowKey>,
    by_virtual_time: BTreeSet<(u64, flow::FlowKey)>,
    by_finish_time: BTreeSet<(u64, flow::FlowKey)>,
    /// Virtual time of the rank, which never decreases: that of the team served
    /// last. A team that was idle continues from it, so that it cannot save up
    /// service.
    virtual_time: u64,
}

impl Queue {
    /// The flow of a team, created if there is none; sets its weight.
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

    /// Adds a request at the end of a flow.
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

    /// The request that goes first: the oldest one of the team with the smallest
    /// virtual time.
    pub fn first(&self) -> Option<entry::EntryKey> {
        let (_, key) = self.by_virtual_time.first()?;
        self.flows[*key].keys.front().copied()
    }

    /// Adds the service of one request to the virtual time of a flow.
    pub fn charge(&mut self, key: flow::FlowKey) {
        self.virtual_time = self.virtual_time.max(self.flows[key].virtual_time);
        self.update(key, |flow| flow.virtual_time += flow.cost());
    }

    /// The newest request of the team with the latest virtual finish time, and
    /// that time.
    pub fn last(&self) -> Option<(entry::EntryKey, u64)> {
        let (finish_time, key) = self.by_finish_time.last()?;
        let entry = self.flows[*key].keys.back()?;
        Some((*entry, *finish_time))
    }

    /// Virtual finish time that a flow would have with one more request.
    pub fn finish_time_with_one_more(&self, key: flow::FlowKey) -> u64 {
        let flow = &self.flows[key];
        flow.finish_time().max(self.virtual_time) + flow.cost()
    }

    /// Removes a request from a flow; `waits` tells which keys are still in the
    /// queue.
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

    /// Changes a flow and updates its position in both orders.
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

    /// Removes idle flows whose virtual time is not ahead of that of the rank.
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
