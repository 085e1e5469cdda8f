//! The rate limits of all teams at this node.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use masticarch_model::{directory, map, name};
use masticarch_policy::convert;
use masticarch_policy::share::{Share, decision, holder};
use masticarch_wire::message::lease;
use slotmap::{SecondaryMap, SlotMap};

use crate::gate::{pending, team};

/// The shares of the rate limits that are leased to this node, and the requests that
/// wait for tokens, by team.
#[derive(Debug, Default)]
pub struct Teams {
    entries: SlotMap<team::LocalKey, team::Team>,
    keys_by_name: map::Map<name::Name, team::LocalKey>,
    local_keys: SecondaryMap<directory::TeamKey, team::LocalKey>,
    wakes: BTreeSet<(Instant, team::LocalKey)>,
}

impl Teams {
    /// Installs a new directory. Teams that it still contains keep their shares;
    /// returns the waiting requests of teams that are gone.
    pub fn install(
        &mut self,
        directory: &directory::Directory,
        now: Instant,
    ) -> Vec<pending::Pending> {
        self.local_keys.clear();
        for (team, entry) in &directory.teams {
            let key = self.local_key(&entry.name, now);
            self.local_keys.insert(team, key);
        }
        let gone: Vec<_> = self
            .keys_by_name
            .iter()
            .filter(|(name, _)| directory.team_named(name).is_none())
            .map(|(_, key)| *key)
            .collect();
        gone.into_iter().flat_map(|key| self.remove(key)).collect()
    }

    /// Decides on a request that may wait for a token. Returns the decision, and the time
    /// from which an early report on the team is due, if one is.
    pub fn request(
        &mut self,
        team: directory::TeamKey,
        pending: pending::Pending,
        patience: holder::Patience,
        now: Instant,
    ) -> (decision::Decision<pending::Pending>, Option<Instant>) {
        let Some(key) = self.local_keys.get(team).copied() else {
            return (decision::Decision::Refuse(pending), None);
        };
        let holder = &mut self.entries[key].holder;
        let decision = holder.request(pending, patience, now);
        let urgent = holder.urgent_from(now);
        if matches!(decision, decision::Decision::Wait) {
            self.schedule(key);
        }
        (decision, urgent)
    }

    /// Whether the node has a valid lease on a share of the limit of a team.
    pub fn is_leased(&self, name: &name::Name, now: Instant) -> bool {
        let key = self.keys_by_name.get(name);
        key.is_some_and(|key| self.entries[*key].holder.is_leased(now))
    }

    /// Gives back the token of a request that passed and did not run.
    pub fn refund(&mut self, name: &name::Name, now: Instant) {
        let Some(key) = self.keys_by_name.get(name).copied() else {
            return;
        };
        self.entries[key].holder.refund(now);
        self.schedule(key);
    }

    /// Takes a request whose wait has ended, with a token or without one.
    pub fn next(&mut self, now: Instant) -> Option<decision::Decision<pending::Pending>> {
        while let Some((wake, key)) = self.wakes.first().copied() {
            if wake > now {
                return None;
            }
            let decision = self.entries[key].holder.next(now);
            self.schedule(key);
            if !matches!(decision, decision::Decision::Wait) {
                return Some(decision);
            }
        }
        None
    }

    /// When [`Self::next`] is due.
    pub fn wake(&self) -> Option<Instant> {
        self.wakes.first().map(|(wake, _)| *wake)
    }

    /// The reports on teams that are due now.
    pub fn reports(&mut self, now: Instant) -> Vec<lease::Report> {
        self.entries
            .values_mut()
            .filter(|team| team.holder.is_due(now))
            .map(|team| report(team, now))
            .collect()
    }

    /// Makes the latest reports due again, since the control leader may not have
    /// received them.
    pub fn reports_lost(&mut self) {
        for team in self.entries.values_mut() {
            team.holder.mark_unreported();
        }
    }

    /// Applies the grants in reply to a lease request that was sent at `sent`.
    pub fn apply_grants(&mut self, grants: &[lease::Grant], sent: Instant, now: Instant) {
        for grant in grants {
            let Some(key) = self.keys_by_name.get(&grant.team).copied() else {
                continue;
            };
            let share = Share {
                rate_per_second: grant.share.rate.into(),
                burst: grant.share.burst.into(),
            };
            let holder = &mut self.entries[key].holder;
            holder.grant(share, grant.tokens.into(), sent, now);
            holder.draw(grant.drawn.into(), sent, now);
            self.schedule(key);
        }
    }

    /// Accounts for a suspension of the VM, which the clock did not count.
    pub fn suspend(&mut self, time: Duration, now: Instant) {
        for team in self.entries.values_mut() {
            team.holder.suspend(time, now);
        }
    }

    fn local_key(&mut self, name: &name::Name, now: Instant) -> team::LocalKey {
        if let Some(key) = self.keys_by_name.get(name) {
            return *key;
        }
        let key = self.entries.insert(team::Team {
            name: name.clone(),
            holder: holder::Holder::new(now),
            wake: None,
        });
        self.keys_by_name.insert(name.clone(), key);
        key
    }

    fn remove(&mut self, key: team::LocalKey) -> Vec<pending::Pending> {
        let Some(mut team) = self.entries.remove(key) else {
            return Vec::new();
        };
        self.keys_by_name.remove(&team.name);
        if let Some(wake) = team.wake {
            self.wakes.remove(&(wake, key));
        }
        team.holder.drain().collect()
    }

    /// Sets the time at which a team is checked next.
    fn schedule(&mut self, key: team::LocalKey) {
        let team = &mut self.entries[key];
        if let Some(wake) = team.wake {
            self.wakes.remove(&(wake, key));
        }
        team.wake = team.holder.next_wake();
        if let Some(wake) = team.wake {
            self.wakes.insert((wake, key));
        }
    }
}

fn report(team: &mut team::Team, now: Instant) -> lease::Report {
    let report = team.holder.report(now);
    lease::Report {
        team: team.name.clone(),
        held: lease::Share {
            rate: convert::floor_f32(report.held.rate_per_second),
            burst: convert::floor_f32(report.held.burst),
        },
        released: convert::floor_f32(report.released),
        demand: convert::floor_f32(report.demand_per_second),
        wanted: convert::floor_f32(report.wanted),
    }
}
