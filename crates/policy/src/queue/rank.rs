//! The lanes of one rank, by service received and by backlog.

use std::collections::{BTreeSet, VecDeque};

use masticarch_model::{map, name};
use slotmap::SlotMap;

use crate::queue::{entry, lane};

/// Lanes without requests are removed when there are this many more than
/// lanes with requests.
const IDLE_LANES: usize = 64;

/// The lanes of one rank.
#[derive(Debug, Default)]
pub struct Rank {
    lanes: SlotMap<lane::LaneKey, lane::Lane>,
    teams: map::Map<Option<name::Name>, lane::LaneKey>,
    by_service: BTreeSet<(u64, lane::LaneKey)>,
    by_backlog: BTreeSet<(u64, lane::LaneKey)>,
    /// Service per weight of the team served last: where a team that was idle
    /// joins in, so that it cannot save up service.
    clock: u64,
}

impl Rank {
    /// The lane of a team, made when there is none.
    pub fn lane(&mut self, team: Option<&name::Name>, weight: u16) -> lane::LaneKey {
        let team = team.cloned();
        if let Some(key) = self.teams.get(&team).copied() {
            self.update(key, |lane| lane.weight = weight);
            return key;
        }
        self.prune();
        let key = self.lanes.insert(lane::Lane {
            team: team.clone(),
            weight,
            service: self.clock,
            waiting: 0,
            keys: VecDeque::new(),
        });
        self.teams.insert(team, key);
        key
    }

    /// Adds a request at the end of a lane.
    pub fn push(&mut self, key: lane::LaneKey, entry: entry::EntryKey) {
        let clock = self.clock;
        self.update(key, |lane| {
            if lane.waiting == 0 {
                lane.service = lane.service.max(clock);
            }
            lane.waiting += 1;
            lane.keys.push_back(entry);
        });
    }

    /// The request that goes first: the oldest one of the team with the least
    /// service per weight.
    pub fn first(&self) -> Option<entry::EntryKey> {
        let (_, key) = self.by_service.first()?;
        self.lanes[*key].keys.front().copied()
    }

    /// Charges a lane for the service of one request.
    pub fn charge(&mut self, key: lane::LaneKey) {
        self.clock = self.clock.max(self.lanes[key].service);
        self.update(key, |lane| lane.service += lane.cost());
    }

    /// The newest request of the team with the largest backlog per weight, and
    /// that backlog.
    pub fn last(&self) -> Option<(entry::EntryKey, u64)> {
        let (backlog, key) = self.by_backlog.last()?;
        let entry = self.lanes[*key].keys.back()?;
        Some((*entry, *backlog))
    }

    /// The backlog per weight that a team would have with one more request.
    pub fn backlog_with_one_more(&self, key: lane::LaneKey) -> u64 {
        let lane = &self.lanes[key];
        lane.backlog().max(self.clock) + lane.cost()
    }

    /// Takes a request out of a lane; `waits` tells which keys still wait.
    pub fn remove(&mut self, key: lane::LaneKey, waits: impl Fn(entry::EntryKey) -> bool) {
        self.update(key, |lane| {
            lane.waiting -= 1;
            while lane.keys.front().is_some_and(|entry| !waits(*entry)) {
                lane.keys.pop_front();
            }
            while lane.keys.back().is_some_and(|entry| !waits(*entry)) {
                lane.keys.pop_back();
            }
        });
    }

    /// Changes a lane and its places in both orders.
    fn update(&mut self, key: lane::LaneKey, change: impl FnOnce(&mut lane::Lane)) {
        let lane = &mut self.lanes[key];
        if lane.waiting > 0 {
            self.by_service.remove(&(lane.service, key));
            self.by_backlog.remove(&(lane.backlog(), key));
        }
        change(lane);
        if lane.waiting > 0 {
            self.by_service.insert((lane.service, key));
            self.by_backlog.insert((lane.backlog(), key));
        }
    }

    /// Forgets idle teams that are not ahead of the others.
    fn prune(&mut self) {
        if self.lanes.len() < 2 * self.by_service.len() + IDLE_LANES {
            return;
        }
        let clock = self.clock;
        let teams = &mut self.teams;
        self.lanes.retain(|_, lane| {
            let keep = lane.waiting > 0 || lane.service > clock;
            if !keep {
                teams.remove(&lane.team);
            }
            keep
        });
    }
}
