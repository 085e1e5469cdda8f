//! A simulated fleet: holders with unreliable connections to an owner that changes.

use std::time::{Duration, Instant};

use masticarch_model::{incarnation, name};
use masticarch_policy::share::{lease, owner};

/// Length of one step of the simulation.
pub const STEP: Duration = Duration::from_millis(10);
/// Time after which a holder stops waiting for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
const REPORT_PERIOD: Duration = Duration::from_secs(1);
const MIN_REPORT_PERIOD: Duration = Duration::from_millis(250);

pub fn team() -> name::Name {
    "arica".into()
}

/// Faults and changes, as probabilities.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// A request or reply is lost.
    pub lost: f64,
    /// A request arrives after its holder has stopped waiting for the reply.
    pub late: f64,
    /// In one step, a holder freezes for up to 7 s.
    pub frozen: f64,
    /// In one step, a new owner takes over.
    pub owner_change: f64,
    /// In one step, operators change the limit.
    pub limit_change: f64,
    /// In one step, the demand at a holder changes.
    pub demand_change: f64,
}

/// A request on its way to the owner.
struct Sent {
    arrives: Instant,
    request: lease::Request,
    /// Whether the holder stops waiting before the owner handles the request.
    late: bool,
    reply_lost: bool,
}

/// A reply on its way to its holder.
struct Answered {
    arrives: Instant,
    connection: u64,
    /// Absent while the owner grants nothing yet.
    grant: Option<lease::Grant>,
}

/// A simplified model of the holder at one node.
pub struct Holder {
    incarnation: incarnation::Incarnation,
    connection: u64,
    pub share: lease::Share,
    tokens: f64,
    released: f64,
    /// Drawn tokens, which are used in the next step.
    drawn: f64,
    lease_ends: Instant,
    frozen_until: Instant,
    /// When the outstanding request was sent.
    sent_at: Option<Instant>,
    /// When the last report was sent.
    reported: Instant,
    reported_demand: f64,
    /// Whether a grant has lowered the share since the last report, so that the next one
    /// is sent early.
    shrunk: bool,
    /// Requests per second that arrive at the node.
    pub demand: f64,
    /// Number of requests served since the start.
    pub served: f64,
}

impl Holder {
    fn new(now: Instant, number: u64) -> Self {
        Self {
            incarnation: incarnation::Incarnation(number),
            connection: number,
            share: lease::Share::default(),
            tokens: 0.0,
            released: 0.0,
            drawn: 0.0,
            lease_ends: now,
            frozen_until: now,
            sent_at: None,
            reported: now,
            reported_demand: 0.0,
            shrunk: false,
            demand: 0.0,
            served: 0.0,
        }
    }

    /// Serves the requests that the bucket allows in one step, and returns how
    /// many.
    fn serve(&mut self, now: Instant) -> f64 {
        if now >= self.lease_ends {
            self.share = lease::Share::default();
            self.tokens = 0.0;
            self.released = 0.0;
        }
        let step = STEP.as_secs_f64();
        self.tokens = (self.tokens + self.share.rate * step).min(self.share.burst);
        let served = self.tokens.min(self.demand * step);
        self.tokens -= served;
        let served = served + std::mem::take(&mut self.drawn);
        self.served += served;
        served
    }

    /// Whole tokens for the demand of one step; 0 if the holder has tokens.
    fn wanted(&self) -> f64 {
        if self.tokens >= 1.0 {
            return 0.0;
        }
        (self.demand * STEP.as_secs_f64()).ceil()
    }

    fn wants_to_report(&self, now: Instant) -> bool {
        let elapsed = now.duration_since(self.reported);
        let change = (self.demand - self.reported_demand).abs();
        let urgent =
            self.shrunk || change > 0.25 * self.reported_demand || self.demand > self.share.rate;
        elapsed >= REPORT_PERIOD || (urgent && elapsed >= MIN_REPORT_PERIOD)
    }

    fn report(&mut self, now: Instant) -> lease::Request {
        self.sent_at = Some(now);
        self.reported = now;
        self.reported_demand = self.demand;
        self.shrunk = false;
        lease::Request {
            node: self.incarnation,
            connection: self.connection,
            reports: vec![lease::Report {
                team: team(),
                held: self.share,
                released: std::mem::take(&mut self.released),
                demand: self.demand,
                wanted: self.wanted(),
            }],
        }
    }

    fn receive(&mut self, now: Instant, answered: &Answered) {
        let Some(sent_at) = self.sent_at else { return };
        if answered.connection != self.connection {
            return;
        }
        self.sent_at = None;
        let Some(grant) = &answered.grant else { return };
        let share = grant.share;
        self.shrunk = share.rate < self.share.rate || share.burst < self.share.burst;
        self.share = share;
        self.lease_ends = sent_at + lease::DURATION;
        let whole = self.tokens + grant.tokens;
        self.tokens = whole.min(share.burst);
        self.released += whole - self.tokens;
        if now < sent_at + lease::DRAW_DURATION {
            self.drawn += grant.drawn;
        }
    }
}

/// Holders, their owner and the network between them.
pub struct Fleet {
    pub now: Instant,
    pub holders: Vec<Holder>,
    pub limit: lease::Share,
    owner: owner::Owner,
    random: fastrand::Rng,
    faults: Faults,
    sent: Vec<Sent>,
    answered: Vec<(usize, Answered)>,
    /// Earlier limits, with the time until which shares of them may be in use.
    earlier: Vec<(Instant, lease::Share)>,
    next_connection: u64,
}

impl Fleet {
    pub fn new(seed: u64, holders: u64, limit: lease::Share, faults: Faults) -> Self {
        let now = Instant::now();
        let mut fleet = Self {
            now,
            holders: (0..holders)
                .map(|number| Holder::new(now, number))
                .collect(),
            limit,
            owner: owner::Owner::new(now),
            random: fastrand::Rng::with_seed(seed),
            faults,
            sent: Vec::new(),
            answered: Vec::new(),
            earlier: Vec::new(),
            next_connection: holders,
        };
        fleet.set_limit(limit);
        fleet
    }

    /// Upper bound on the shares in use: the largest limit whose shares may be.
    pub fn permitted(&self) -> lease::Share {
        let earlier = self.earlier.iter();
        earlier.fold(self.limit, |most, (_, limit)| most.max(*limit))
    }

    /// Sum of the shares that holders may use at this moment.
    pub fn used(&self) -> lease::Share {
        let leased = |holder: &&Holder| self.now < holder.lease_ends;
        let holders = self.holders.iter().filter(leased);
        holders.fold(lease::Share::default(), |sum, holder| {
            sum.plus(holder.share)
        })
    }

    /// Runs for a time.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs one step and returns the number of requests served in it.
    pub fn step(&mut self) -> f64 {
        self.now += STEP;
        self.earlier.retain(|(until, _)| *until > self.now);
        self.disturb();
        self.deliver_requests();
        self.deliver_replies();
        let mut served = 0.0;
        for index in 0..self.holders.len() {
            if self.now >= self.holders[index].frozen_until {
                served += self.holders[index].serve(self.now);
                self.report(index);
            }
        }
        served
    }

    /// Starts a new owner. The earlier one grants nothing any more, because it
    /// cannot confirm its leadership.
    pub fn replace_owner(&mut self) {
        let holders = self.holders.iter().map(|holder| holder.incarnation);
        self.owner = owner::Owner::awaiting(self.now, holders.collect());
        self.sent.clear();
        // Until all leases have ended, the new owner does not know which of the
        // reported shares were granted before the limit was lowered.
        for (until, _) in &mut self.earlier {
            *until = self.now + lease::OWNER_DURATION + STEP;
        }
        self.set_limit(self.limit);
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.random.f64() < probability
    }

    fn disturb(&mut self) {
        if self.chance(self.faults.owner_change) {
            self.replace_owner();
        }
        if self.chance(self.faults.limit_change) {
            let factor = 0.25 + self.random.f64() * 2.0;
            self.set_limit(lease::Share {
                rate: self.limit.rate * factor,
                burst: (self.limit.burst * factor).max(1.0),
            });
        }
        for index in 0..self.holders.len() {
            if self.chance(self.faults.frozen) {
                let time = Duration::from_millis(self.random.u64(100..7_000));
                self.holders[index].frozen_until = self.now + time;
            }
            if self.chance(self.faults.demand_change) {
                let level = [0.0, 0.1, 1.0, 4.0][self.random.usize(0..4)];
                self.holders[index].demand = self.limit.rate * level;
            }
        }
    }

    fn set_limit(&mut self, limit: lease::Share) {
        let until = self.now + lease::OWNER_DURATION + STEP;
        self.earlier.push((until, self.limit));
        self.limit = limit;
        let limit = lease::Limit {
            team: team(),
            whole: limit,
        };
        self.owner.set_limits(self.now, &[limit]);
    }

    /// Sends a report if one is due, or stops waiting for an old reply.
    fn report(&mut self, index: usize) {
        let holder = &mut self.holders[index];
        if let Some(sent_at) = holder.sent_at {
            if self.now.duration_since(sent_at) < REPLY_TIMEOUT {
                return;
            }
            holder.sent_at = None;
            holder.connection = self.next_connection;
            self.next_connection += 1;
        }
        if !self.holders[index].wants_to_report(self.now) {
            return;
        }
        let request = self.holders[index].report(self.now);
        if self.chance(self.faults.lost) {
            return;
        }
        let late = self.chance(self.faults.late);
        let delay = if late { 500..3_000 } else { 1..15 };
        let delay = Duration::from_millis(self.random.u64(delay));
        let reply_lost = self.chance(self.faults.lost);
        self.sent.push(Sent {
            arrives: self.now + delay,
            request,
            late,
            reply_lost,
        });
    }

    fn deliver_requests(&mut self) {
        let now = self.now;
        let arrived = |sent: &mut Sent| sent.arrives <= now;
        let requests: Vec<_> = self.sent.extract_if(.., arrived).collect();
        for sent in requests {
            let Some(grants) = self.owner.renew(now, &sent.request) else {
                continue;
            };
            if sent.late || sent.reply_lost {
                continue;
            }
            let delay = Duration::from_millis(self.random.u64(1..15));
            let node = sent.request.node;
            let holders = &self.holders;
            let index = holders.iter().position(|holder| holder.incarnation == node);
            let answered = Answered {
                arrives: now + delay,
                connection: sent.request.connection,
                grant: grants.into_iter().next(),
            };
            let index = index.expect("the request came from a holder");
            self.answered.push((index, answered));
        }
    }

    fn deliver_replies(&mut self) {
        let now = self.now;
        // A frozen holder reads its replies once it runs again.
        let holders = &self.holders;
        let arrived = |(index, answered): &mut (usize, Answered)| {
            answered.arrives <= now && now >= holders[*index].frozen_until
        };
        let replies: Vec<_> = self.answered.extract_if(.., arrived).collect();
        for (index, answered) in replies {
            self.holders[index].receive(now, &answered);
        }
    }
}
