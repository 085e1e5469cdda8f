//! The rates of all teams at this node.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use masticarch_model::{directory, map, name};
use masticarch_policy::convert;
use masticarch_policy::share::{Share, decision, holder};
use masticarch_wire::message::lease;
use slotmap::{SecondaryMap, SlotMap};

use crate::gate::{pending, team};

/// The rates of all teams at this node.
#[derive(Debug, Default)]
pub struct Teams {
    arena: SlotMap<team::SlotKey, team::Team>,
    names: map::Map<name::Name, team::SlotKey>,
    slots: SecondaryMap<directory::TeamKey, team::SlotKey>,
    wakes: BTreeSet<(Instant, team::SlotKey)>,
}

impl Teams {
    /// Follows a new directory. Teams that it still has keep their shares;
    /// returns the waiting requests of teams that are gone.
    pub fn install(
        &mut self,
        directory: &directory::Directory,
        now: Instant,
    ) -> Vec<pending::Pending> {
        self.slots.clear();
        for (key, entry) in &directory.teams {
            let slot = self.slot(&entry.name, now);
            self.slots.insert(key, slot);
        }
        let gone: Vec<_> = self
            .names
            .iter()
            .filter(|(name, _)| directory.team_named(name).is_none())
            .map(|(_, slot)| *slot)
            .collect();
        gone.into_iter()
            .flat_map(|slot| self.remove(slot))
            .collect()
    }

    /// Decides on a request that may wait until `until`. Returns the decision
    /// and from when on the owner should hear of the team, if it should.
    pub fn request(
        &mut self,
        team: directory::TeamKey,
        pending: pending::Pending,
        until: Instant,
        now: Instant,
    ) -> (decision::Decision<pending::Pending>, Option<Instant>) {
        let Some(slot) = self.slots.get(team).copied() else {
            return (decision::Decision::Refuse(pending), None);
        };
        let holder = &mut self.arena[slot].holder;
        let decision = holder.request(pending, until, now);
        let urgent = holder.urgent_from(now);
        if matches!(decision, decision::Decision::Wait) {
            self.schedule(slot);
        }
        (decision, urgent)
    }

    /// Whether the node knows its share of a team's limit.
    pub fn is_leased(&self, name: &name::Name, now: Instant) -> bool {
        let slot = self.names.get(name);
        slot.is_some_and(|slot| self.arena[*slot].holder.is_leased(now))
    }

    /// Gives back the token of a request that passed and did not run.
    pub fn refund(&mut self, name: &name::Name, now: Instant) {
        let Some(slot) = self.names.get(name).copied() else {
            return;
        };
        self.arena[slot].holder.refund(now);
        self.schedule(slot);
    }

    /// Takes a request whose wait for a token has ended, one way or the other.
    pub fn next(&mut self, now: Instant) -> Option<decision::Decision<pending::Pending>> {
        while let Some((wake, slot)) = self.wakes.first().copied() {
            if wake > now {
                return None;
            }
            let decision = self.arena[slot].holder.next(now);
            self.schedule(slot);
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

    /// The reports on the teams of which the owner should hear now.
    pub fn reports(&mut self, now: Instant) -> Vec<lease::Report> {
        self.arena
            .values_mut()
            .filter(|team| team.holder.is_due(now))
            .map(|team| report(team, now))
            .collect()
    }

    /// The owner may not have got the latest reports.
    pub fn unreported(&mut self) {
        for team in self.arena.values_mut() {
            team.holder.mark_unreported();
        }
    }

    /// Applies grants in answer to a request that was sent at `sent`.
    pub fn granted(&mut self, grants: &[lease::Grant], sent: Instant, now: Instant) {
        for grant in grants {
            let Some(slot) = self.names.get(&grant.team).copied() else {
                continue;
            };
            let share = Share {
                rate_per_second: grant.share.rate.into(),
                burst: grant.share.burst.into(),
            };
            let holder = &mut self.arena[slot].holder;
            holder.grant(share, grant.tokens.into(), sent, now);
            holder.draw(grant.drawn.into(), sent, now);
            self.schedule(slot);
        }
    }

    /// The VM was suspended for this long, which the clock did not count.
    pub fn suspend(&mut self, time: Duration, now: Instant) {
        for team in self.arena.values_mut() {
            team.holder.suspend(time, now);
        }
    }

    fn slot(&mut self, name: &name::Name, now: Instant) -> team::SlotKey {
        if let Some(slot) = self.names.get(name) {
            return *slot;
        }
        let slot = self.arena.insert(team::Team {
            name: name.clone(),
            holder: holder::Holder::new(now),
            wake: None,
        });
        self.names.insert(name.clone(), slot);
        slot
    }

    fn remove(&mut self, slot: team::SlotKey) -> Vec<pending::Pending> {
        let Some(mut team) = self.arena.remove(slot) else {
            return Vec::new();
        };
        self.names.remove(&team.name);
        if let Some(wake) = team.wake {
            self.wakes.remove(&(wake, slot));
        }
        team.holder.drain().collect()
    }

    /// Sets the time at which a team is looked at next.
    fn schedule(&mut self, slot: team::SlotKey) {
        let team = &mut self.arena[slot];
        if let Some(wake) = team.wake {
            self.wakes.remove(&(wake, slot));
        }
        team.wake = team.holder.next_wake();
        if let Some(wake) = team.wake {
            self.wakes.insert((wake, slot));
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
