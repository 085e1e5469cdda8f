//! Owner of the limits of all teams, on the control leader: answers the reports of
//! the nodes with grants.

use std::time::{Duration, Instant};

use masticarch_model::{incarnation, map, name};
use slotmap::{SlotMap, new_key_type};

use super::{lease, quota};

/// Time for which the last connection of a holder that does not report is kept.
const CONNECTION_RETENTION: Duration = Duration::from_mins(1);

new_key_type! {
    /// Key of a team's quota.
    struct QuotaKey;
}

/// The latest connection of a holder.
#[derive(Clone, Copy, Debug)]
struct Connection {
    number: u64,
    seen_at: Instant,
}

/// Grants shares of team limits such that the shares that holders may be using
/// never exceed a limit: a share counts until its holder reports a smaller one
/// or its lease ends. Each term of the control leader has a new owner.
///
/// Shares cannot be revoked, so that a lowered limit is in force only after
/// [`lease::OWNER_DURATION`]. If the owner changes within that time, the time starts
/// again: the new owner gets reports of shares granted under either limit, and
/// does not know of those that are not reported yet.
#[derive(Clone, Debug)]
pub struct Owner {
    /// Time from which every share of earlier owners has been reported or has ended,
    /// so that new shares are granted.
    grants_from: Instant,
    /// Holders that may have shares of earlier owners and have not reported to this
    /// one. Once there are none, new shares are granted. `None` when they are not
    /// known, and once new shares are granted.
    awaited: Option<map::Set<incarnation::Incarnation>>,
    /// Whether holders that join may have joined before this term, and so may have
    /// shares of earlier owners.
    joins_predate_term: bool,
    /// Holders that are about to be removed, with the time until which they get no
    /// share.
    released: map::Map<incarnation::Incarnation, Instant>,
    quotas: SlotMap<QuotaKey, quota::Quota>,
    teams: map::Map<name::Name, QuotaKey>,
    connections: map::Map<incarnation::Incarnation, Connection>,
}

impl Owner {
    /// The owner of a new term, which grants nothing new until the leases of its
    /// predecessors have ended.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            grants_from: now + lease::OWNER_DURATION,
            awaited: None,
            joins_predate_term: true,
            released: map::Map::default(),
            quotas: SlotMap::with_key(),
            teams: map::Map::default(),
            connections: map::Map::default(),
        }
    }

    /// The owner of the very first term, before which nothing was leased.
    #[must_use]
    pub fn first(now: Instant) -> Self {
        Self {
            grants_from: now,
            ..Self::new(now)
        }
    }

    /// The owner of a new term that knows which holders may have shares of earlier
    /// owners, and grants new shares once they have all reported or ended.
    #[must_use]
    pub fn awaiting(now: Instant, holders: map::Set<incarnation::Incarnation>) -> Self {
        Self {
            awaited: Some(holders),
            ..Self::new(now)
        }
    }

    /// Records that a holder has joined the fleet.
    pub fn joined(&mut self, holder: incarnation::Incarnation) {
        self.released.remove(&holder);
        if let Some(awaited) = self.awaited.as_mut().filter(|_| self.joins_predate_term) {
            awaited.insert(holder);
        }
    }

    /// Records that the term has begun in the log: holders that join from now on
    /// cannot have shares of earlier owners.
    pub fn begin_term(&mut self) {
        self.joins_predate_term = false;
    }

    /// Records that a holder has ended, and its shares with it.
    pub fn ended(&mut self, holder: incarnation::Incarnation) {
        if let Some(awaited) = &mut self.awaited {
            awaited.remove(&holder);
        }
    }

    /// Returns those of the silent holders that hold no share. They get no share until
    /// they join again, so that later owners need not know of them once they are
    /// removed.
    pub fn release(
        &mut self,
        now: Instant,
        mut silent: Vec<incarnation::Incarnation>,
    ) -> Vec<incarnation::Incarnation> {
        silent.retain(|holder| !self.may_hold(now, *holder));
        let until = now + lease::OWNER_DURATION;
        self.released
            .extend(silent.iter().map(|holder| (*holder, until)));
        silent
    }

    /// Whether a holder may be using a share.
    fn may_hold(&self, now: Instant, holder: incarnation::Incarnation) -> bool {
        let has_reported = self
            .awaited
            .as_ref()
            .is_some_and(|awaited| !awaited.contains(&holder));
        let may_be_unreported = now < self.grants_from && !has_reported;
        may_be_unreported
            || self
                .quotas
                .values()
                .any(|quota| quota.may_hold(now, holder))
    }

    /// Whether nothing is granted because shares of earlier owners may be in use.
    #[must_use]
    pub fn is_waiting(&self, now: Instant) -> bool {
        now < self.grants_from
    }

    /// Number of holders whose reports this owner waits for; 0 when they are not
    /// known.
    #[must_use]
    pub fn awaited(&self) -> usize {
        self.awaited.as_ref().map_or(0, map::Set::len)
    }

    fn grant_early(&mut self, now: Instant) {
        if self.awaited.as_ref().is_some_and(map::Set::is_empty) {
            self.grants_from = self.grants_from.min(now);
            self.awaited = None;
        }
    }

    /// Sets the limits of all teams. A team that is not listed gets no new shares;
    /// its present shares count until their leases end.
    pub fn set_limits(&mut self, now: Instant, limits: &[lease::Limit]) {
        let listed: map::Set<_> = limits.iter().map(|limit| &limit.team).collect();
        for (team, key) in &self.teams {
            if !listed.contains(team) {
                self.quotas[*key].set_limit(now, lease::Share::default(), self.grants_from);
            }
        }
        for limit in limits {
            let key = *self
                .teams
                .entry(limit.team.clone())
                .or_insert_with(|| self.quotas.insert(quota::Quota::new(now)));
            self.quotas[key].set_limit(now, limit.whole, self.grants_from);
        }
    }

    /// Answers a holder's reports with one grant for each, or with none if the
    /// holder was released. While nothing new is granted, reports of empty shares get no
    /// grant: an empty one would say that the team's rate is used up. Every holder that was known when the request was sent
    /// must have been passed to [`Self::awaiting`] or [`Self::joined`] before.
    /// `None` when the holder has opened a later connection since.
    pub fn renew(&mut self, now: Instant, request: &lease::Request) -> Option<Vec<lease::Grant>> {
        if !self.is_latest(now, request) {
            return None;
        }
        if self.released.contains_key(&request.node) {
            return Some(Vec::new());
        }
        for report in &request.reports {
            self.record(now, request.node, report);
        }
        self.ended(request.node);
        self.grant_early(now);
        let is_waiting = self.is_waiting(now);
        let grants = request
            .reports
            .iter()
            .filter(|report| !is_waiting || !report.held.is_empty())
            .map(|report| self.grant(now, request.node, report));
        Some(grants.collect())
    }

    /// Removes shares whose leases have ended, teams without limit and shares, and
    /// connections of holders that no longer report.
    pub fn expire(&mut self, now: Instant) {
        let quotas = &mut self.quotas;
        self.teams.retain(|_, key| {
            let quota = &mut quotas[*key];
            let keep = quota.expire(now) || !quota.limit().is_empty();
            if !keep {
                quotas.remove(*key);
            }
            keep
        });
        self.released.retain(|_, until| *until > now);
        self.connections.retain(|_, connection| {
            now.saturating_duration_since(connection.seen_at) < CONNECTION_RETENTION
        });
    }

    /// Usage of each team's limit.
    #[must_use]
    pub fn usage(&self) -> Vec<lease::Usage> {
        let usage = |(team, key): (&name::Name, &QuotaKey)| {
            let quota = &self.quotas[*key];
            lease::Usage {
                team: team.clone(),
                whole: quota.limit(),
                leased: quota.counted(),
                demand: quota.demand(),
            }
        };
        self.teams.iter().map(usage).collect()
    }

    /// Counts the share that a holder reports, before anything is granted.
    fn record(&mut self, now: Instant, node: incarnation::Incarnation, report: &lease::Report) {
        let quota = self.teams.get(&report.team);
        if let Some(quota) = quota.and_then(|key| self.quotas.get_mut(*key)) {
            quota.record(now, node, report, self.grants_from);
        }
    }

    fn grant(
        &mut self,
        now: Instant,
        node: incarnation::Incarnation,
        report: &lease::Report,
    ) -> lease::Grant {
        let grant = self
            .teams
            .get(&report.team)
            .and_then(|key| self.quotas.get_mut(*key))
            .map(|quota| quota.renew(now, node, report, self.grants_from));
        lease::Grant {
            team: report.team.clone(),
            share: grant.map(|grant| grant.share).unwrap_or_default(),
            tokens: grant.map_or(0.0, |grant| grant.tokens),
            drawn: grant.map_or(0.0, |grant| grant.drawn),
        }
    }

    /// Whether a request came on the latest connection of its holder. If so, that
    /// connection is recorded.
    fn is_latest(&mut self, now: Instant, request: &lease::Request) -> bool {
        let number = request.connection;
        let latest = self.connections.entry(request.node).or_insert(Connection {
            number,
            seen_at: now,
        });
        if number < latest.number {
            return false;
        }
        *latest = Connection {
            number,
            seen_at: now,
        };
        true
    }
}
