//! The limit of one team at the owner: the shares that holders may be using, and the
//! free tokens.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use masticarch_model::{incarnation, map};

use super::{allocation, lease};

/// Number of holders up to which the allocation is computed for every report. With
/// more holders it is computed at most once per [`MAX_ALLOCATION_AGE`], because its
/// cost grows with their number.
const MAX_EAGER_HOLDERS: usize = 64;
/// Age up to which an allocation is used with more than [`MAX_EAGER_HOLDERS`] holders.
const MAX_ALLOCATION_AGE: Duration = Duration::from_millis(100);

/// Time after its first report for which a holder is new: its demand does not tell yet
/// whether it will use a share.
const NEW_HOLDER_TIME: Duration = Duration::from_millis(1500);
/// Fraction of what is free that a new holder gets whatever its demand is.
const NEW_HOLDER_RATIO: f64 = 0.05;

/// What a new holder gets beyond that, in relation to the demand that it has shown.
const NEW_HOLDER_HEADROOM: f64 = 1.25;

/// Share that one holder may be using.
#[derive(Clone, Copy, Debug)]
struct Holding {
    counted: lease::Share,
    /// Share that the holder may keep when the sum of all shares exceeds a lowered
    /// limit.
    kept: lease::Share,
    demand: f64,
    first_reported: Instant,
    expires: Instant,
}

impl Holding {
    fn is_new(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.first_reported) < NEW_HOLDER_TIME
    }
}

/// Grant in answer to one report.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    /// Share that the holder may use.
    pub share: lease::Share,
    /// Tokens moved from the pool into the holder's bucket.
    pub tokens: f64,
    /// Tokens from the pool for waiting requests, in addition to the share.
    pub drawn: f64,
}

/// One team's limit, the shares leased to holders and the pool of free tokens. The
/// sum of the counted shares and the pool never exceeds the limit, unless the limit
/// was just lowered.
#[derive(Clone, Debug)]
pub struct Quota {
    limit: lease::Share,
    holdings: map::Map<incarnation::Incarnation, Holding>,
    counted: lease::Share,
    /// Tokens that no holder has, up to the free burst.
    pool: f64,
    /// Drawn tokens that may still be in use, with the time at which they no longer
    /// are.
    draws: VecDeque<(Instant, f64)>,
    /// Sum of `draws`, which is subtracted from the free burst.
    drawn: f64,
    filled_at: Instant,
    allocation: allocation::Allocation,
    allocated_at: Option<Instant>,
}

impl Quota {
    /// A quota with a limit of 0 and an empty pool.
    pub fn new(now: Instant) -> Self {
        Self {
            limit: lease::Share::default(),
            holdings: map::Map::default(),
            counted: lease::Share::default(),
            pool: 0.0,
            draws: VecDeque::new(),
            drawn: 0.0,
            filled_at: now,
            allocation: allocation::Allocation::default(),
            allocated_at: None,
        }
    }

    /// Rate and burst over the whole fleet.
    pub const fn limit(&self) -> lease::Share {
        self.limit
    }

    /// Sum of the shares that holders may be using.
    pub const fn counted(&self) -> lease::Share {
        self.counted
    }

    /// Sum of the reported demand in requests per second.
    pub fn demand(&self) -> f64 {
        self.holdings.values().map(|holding| holding.demand).sum()
    }

    /// Changes the limit. If shares granted under the earlier limit exceed it, each
    /// holder may keep the same fraction of its share, so that the sum is within
    /// the limit once every holder has reported or its lease has ended.
    pub fn set_limit(&mut self, now: Instant, limit: lease::Share, grants_from: Instant) {
        if self.limit != limit {
            self.fill(now, grants_from);
            self.limit = limit;
            self.allocated_at = None;
            self.trim_pool();
            self.scale_kept();
        }
    }

    fn scale_kept(&mut self) {
        let rate = fitting_ratio(self.limit.rate, self.counted.rate);
        let burst = fitting_ratio(self.limit.burst, self.counted.burst);
        for holding in self.holdings.values_mut() {
            holding.kept = lease::Share {
                rate: holding.counted.rate * rate,
                burst: holding.counted.burst * burst,
            };
        }
    }

    /// Stops counting shares whose lease has ended; returns whether any remain.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.holdings.retain(|_, holding| holding.expires > now);
        // The sum is computed anew, so that rounding errors do not accumulate.
        self.counted = self
            .holdings
            .values()
            .fold(lease::Share::default(), |sum, holding| {
                sum.plus(holding.counted)
            });
        !self.holdings.is_empty()
    }

    /// Whether a holder may be using a share.
    pub fn may_hold(&self, now: Instant, node: incarnation::Incarnation) -> bool {
        let holding = self.holdings.get(&node);
        holding.is_some_and(|holding| !holding.counted.is_empty() && holding.expires > now)
    }

    /// Answers a holder's report, which must have been passed to [`Self::record`]
    /// with the same `now`. Before `grants_from`, shares granted by an earlier
    /// owner may be in use unreported, so that nothing new is granted.
    pub fn renew(
        &mut self,
        now: Instant,
        node: incarnation::Incarnation,
        report: &lease::Report,
        grants_from: Instant,
    ) -> Grant {
        let (held, demand) = (held_share(report), finite_amount(report.demand));
        self.pool += finite_amount(report.released);
        self.trim_pool();
        self.update_allocation(now);
        let share = self.share(now, node, held, demand, now < grants_from);
        self.count(now, node, held.max(share), demand);
        let tokens = self.take_tokens(held, share, demand);
        let wanted = finite_amount(report.wanted) - tokens;
        let may_draw = self.allocation.allows_draws() || share.is_empty();
        let drawn = if may_draw {
            self.draw(now, wanted)
        } else {
            0.0
        };
        Grant {
            share,
            tokens,
            drawn,
        }
    }

    /// Counts the share and the demand in a holder's report.
    pub fn record(
        &mut self,
        now: Instant,
        node: incarnation::Incarnation,
        report: &lease::Report,
        grants_from: Instant,
    ) {
        self.fill(now, grants_from);
        self.count(now, node, held_share(report), finite_amount(report.demand));
    }

    /// The new share of a holder that is counted with `held`.
    fn share(
        &self,
        now: Instant,
        node: incarnation::Incarnation,
        held: lease::Share,
        demand: f64,
        is_waiting: bool,
    ) -> lease::Share {
        let others = self.counted.minus(held);
        let mut free = self.limit.minus(others);
        free.burst = (free.burst - self.drawn).max(0.0);
        let holding = self.holdings.get(&node);
        let kept = holding.map(|holding| holding.kept).unwrap_or_default();
        if holding.is_some_and(|holding| holding.is_new(now)) {
            free = held.max(share_of_new_holder(free, demand)).min(free);
        }
        let max_share = free.max(kept.min(held));
        let target = self.allocation.target(demand).min(max_share);
        if is_waiting {
            return target.min(held);
        }
        // A bucket with less than one token of burst never lets a request pass, and
        // would only take rate from the other holders.
        if target.burst < 1.0 {
            return lease::Share::default();
        }
        target
    }

    /// Sets the share that is counted for a holder until its lease ends.
    fn count(
        &mut self,
        now: Instant,
        node: incarnation::Incarnation,
        counted: lease::Share,
        demand: f64,
    ) {
        let earlier = self.holdings.remove(&node);
        if !counted.is_empty() || demand > 0.0 {
            let kept = earlier.map(|holding| holding.kept).unwrap_or_default();
            let holding = Holding {
                counted,
                kept,
                demand,
                first_reported: earlier.map_or(now, |holding| holding.first_reported),
                expires: now + lease::OWNER_DURATION,
            };
            self.holdings.insert(node, holding);
        }
        let earlier = earlier.map(|holding| holding.counted).unwrap_or_default();
        self.counted = self.counted.minus(earlier).plus(counted);
    }

    /// Adds the tokens earned since the last call by the rate that no holder may be
    /// using.
    fn fill(&mut self, now: Instant, grants_from: Instant) {
        self.end_draws(now);
        let from = self.filled_at.max(grants_from);
        let elapsed = now.saturating_duration_since(from).as_secs_f64();
        self.filled_at = now.max(self.filled_at);
        self.pool += self.limit.minus(self.counted).rate * elapsed;
        self.trim_pool();
    }

    fn trim_pool(&mut self) {
        let free = self.limit.minus(self.counted).burst - self.drawn;
        self.pool = self.pool.min(free.max(0.0));
    }

    /// Takes a whole number of tokens from the pool for waiting requests. They
    /// count towards the burst for as long as they may be used.
    fn draw(&mut self, now: Instant, wanted: f64) -> f64 {
        let drawn = wanted.min(self.pool).floor();
        if drawn < 1.0 {
            return 0.0;
        }
        self.pool -= drawn;
        self.drawn += drawn;
        self.draws
            .push_back((now + lease::DRAW_OWNER_DURATION, drawn));
        drawn
    }

    fn end_draws(&mut self, now: Instant) {
        while let Some((_, drawn)) = self.draws.pop_front_if(|(until, _)| *until <= now) {
            self.drawn -= drawn;
        }
        if self.draws.is_empty() {
            self.drawn = 0.0;
        }
    }

    /// Takes tokens from the pool for a holder's bucket: as many as its burst grew
    /// by, plus one second's worth of the demand beyond its rate.
    fn take_tokens(&mut self, held: lease::Share, share: lease::Share, demand: f64) -> f64 {
        let growth = share.minus(held).burst;
        let shortfall = (demand - share.rate).max(0.0);
        let tokens = (growth + shortfall).min(share.burst).min(self.pool);
        self.pool -= tokens;
        self.trim_pool();
        tokens
    }

    fn update_allocation(&mut self, now: Instant) {
        let fresh = |allocated_at: Instant| {
            now.saturating_duration_since(allocated_at) < MAX_ALLOCATION_AGE
        };
        if self.holdings.len() > MAX_EAGER_HOLDERS && self.allocated_at.is_some_and(fresh) {
            return;
        }
        self.expire(now);
        let demand = self.holdings.values().map(|holding| holding.demand);
        self.allocation = allocation::Allocation::new(self.limit, demand);
        self.allocated_at = Some(now);
    }
}

/// The largest share of a new holder. One request shows no demand that lasts: a team whose
/// requests enter at many nodes would have its whole limit leased to the first few of them.
fn share_of_new_holder(free: lease::Share, demand: f64) -> lease::Share {
    let shown = NEW_HOLDER_HEADROOM * (demand - 1.0).max(0.0);
    let shown = lease::Share {
        rate: shown,
        burst: shown,
    };
    free.scaled(NEW_HOLDER_RATIO).max(shown)
}

/// The fraction of `sum` that is within `limit`.
fn fitting_ratio(limit: f64, sum: f64) -> f64 {
    if sum > limit { limit / sum } else { 1.0 }
}

/// The share that a holder reports, with valid amounts only.
const fn held_share(report: &lease::Report) -> lease::Share {
    lease::Share {
        rate: finite_amount(report.held.rate),
        burst: finite_amount(report.held.burst),
    }
}

/// A reported amount; 0 if it is negative, infinite or not a number.
const fn finite_amount(value: f64) -> f64 {
    if value.is_finite() {
        value.max(0.0)
    } else {
        0.0
    }
}
