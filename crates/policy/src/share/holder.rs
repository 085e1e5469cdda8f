//! The leased share of one team's limit on one node, and the requests that wait for
//! its tokens.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::share::{Share, bucket, decision, demand, lease, report};

/// Time for which a node may use a share, counted from before it sent the request
/// that was granted.
pub const LEASE_DURATION: Duration = lease::DURATION;
/// Time between two regular reports on a team. It is shorter than a lease, so that
/// the lease does not end.
pub const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Age of a report from which the team is included in a message that is sent for
/// other teams. That costs less than a separate message soon after.
const MIN_SHARED_REPORT_AGE: Duration = Duration::from_millis(500);
/// Shortest time between two reports because of increased demand.
pub const URGENT_INTERVAL: Duration = Duration::from_millis(250);
/// Growth of demand, as a fraction, above which a report is urgent.
const URGENT_GROWTH_RATIO: f64 = 0.25;
/// Growth of demand up to which no report is urgent, so that the noise of a few
/// requests per second causes none.
const URGENT_GROWTH_PER_SECOND: f64 = 2.0;
/// Demand below which a team counts as idle.
const IDLE_PER_SECOND: f64 = 0.01;
/// Maximum number of requests of one team that wait for tokens. It bounds memory
/// while a team sends several times its rate.
const MAX_WAITING: usize = 1024;

/// Time for which requests that have waited for a silent owner wait on once it answers.
const BACKLOG_TIME: Duration = Duration::from_millis(800);

/// How long a request may wait for a token.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Until when it waits if the owner has answered a report on it.
    pub until: Instant,
    /// Until when it waits if the owner does not answer: without an answer nothing says that
    /// the team is over its rate.
    pub unanswered: Instant,
}

impl Patience {
    /// A wait until the same moment in both cases.
    #[must_use]
    pub const fn until(until: Instant) -> Self {
        Self {
            until,
            unanswered: until,
        }
    }
}

/// A request that waits for a token.
#[derive(Debug)]
struct Waiter<T> {
    item: T,
    since: Instant,
    patience: Patience,
}

/// When the latest report was made, and with which demand.
#[derive(Clone, Copy, Debug)]
struct Reported {
    at: Instant,
    demand_per_second: f64,
}

/// Leased share of one team's limit on a node, with the requests that wait for its
/// tokens in the order of arrival.
#[derive(Debug)]
pub struct Holder<T> {
    bucket: bucket::Bucket,
    expires: Option<Instant>,
    released: f64,
    /// Drawn tokens, which only waiting requests may use.
    drawn: f64,
    /// Until when drawn tokens may be used.
    drawn_until: Instant,
    demand: demand::Demand,
    reported: Option<Reported>,
    /// When the latest report was sent that the owner has answered.
    answered: Option<Instant>,
    /// When the owner answered again after a silence.
    resumed: Option<Instant>,
    waiting: VecDeque<Waiter<T>>,
}

impl<T> Holder<T> {
    /// A holder without a share.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            bucket: bucket::Bucket::new(now),
            expires: None,
            released: 0.0,
            drawn: 0.0,
            drawn_until: now,
            demand: demand::Demand::new(now),
            reported: None,
            answered: None,
            resumed: None,
            waiting: VecDeque::new(),
        }
    }

    /// Decides on a new request, which may wait for a token.
    pub fn request(&mut self, item: T, patience: Patience, now: Instant) -> decision::Decision<T> {
        self.advance(now);
        self.demand.add(now);
        if self.waiting.is_empty() && self.bucket.take() {
            return decision::Decision::Pass(item);
        }
        if patience.until <= now || self.waiting.len() >= MAX_WAITING {
            return decision::Decision::Refuse(item);
        }
        self.waiting.push_back(Waiter {
            item,
            since: now,
            patience,
        });
        decision::Decision::Wait
    }

    /// Removes and returns the next waiting request that got a token or has waited
    /// too long; [`decision::Decision::Wait`] when there is none.
    pub fn next(&mut self, now: Instant) -> decision::Decision<T> {
        self.advance(now);
        let Some(waiter) = self.waiting.pop_front() else {
            return decision::Decision::Wait;
        };
        if waiter.patience.unanswered.max(waiter.patience.until) <= now {
            return decision::Decision::Refuse(waiter.item);
        }
        if self.bucket.take() || self.take_drawn() {
            return decision::Decision::Pass(waiter.item);
        }
        if self.end_of_wait(&waiter) <= now {
            return decision::Decision::Refuse(waiter.item);
        }
        self.waiting.push_front(waiter);
        decision::Decision::Wait
    }

    /// Returns the token of a request that passed and did not run, so that a
    /// refusal for another reason does not count towards the rate. The request must
    /// have passed at the same `now`: under a later lease the token would be added
    /// to those that the owner granted.
    pub fn refund(&mut self, now: Instant) {
        self.advance(now);
        self.bucket.put_back();
    }

    /// Time at which [`Self::next`] may return a request; `None` when none waits.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        let until = self.end_of_wait(self.waiting.front()?);
        if self.drawn >= 1.0 {
            return Some(self.bucket.advanced_to());
        }
        let token = self.bucket.next_token();
        Some(token.map_or(until, |token| token.min(until)))
    }

    /// Removes and returns all waiting requests.
    pub fn drain(&mut self) -> impl Iterator<Item = T> + '_ {
        self.waiting.drain(..).map(|waiter| waiter.item)
    }

    /// Applies the grant in answer to a request that was sent at `sent`, unless its
    /// lease has ended already. A smaller share than the present one applies at
    /// once; tokens that exceed its burst are released with the next report.
    pub fn grant(&mut self, share: Share, tokens: f64, sent: Instant, now: Instant) {
        self.advance(now);
        self.record_answer(sent, now);
        let expires = sent + LEASE_DURATION;
        if expires <= now {
            return;
        }
        self.released += self.bucket.resize(share, tokens);
        self.expires = self.expires.max(Some(expires));
    }

    fn record_answer(&mut self, sent: Instant, now: Instant) {
        let waited_in_vain = |waiter: &Waiter<T>| {
            waiter.patience.until < now && self.answered.is_none_or(|sent| sent < waiter.since)
        };
        if self.waiting.front().is_some_and(waited_in_vain) {
            self.resumed = Some(now);
        }
        self.answered = self.answered.max(Some(sent));
    }

    /// Sets the drawn tokens in answer to a request that was sent at `sent`. Tokens
    /// that waiting requests do not need, or that come too late, are lost: once the owner
    /// no longer counts them, another node may have got as many.
    pub fn draw(&mut self, tokens: f64, sent: Instant, now: Instant) {
        self.advance(now);
        self.drawn = 0.0;
        self.drawn_until = sent + lease::DRAW_DURATION;
        let in_time = now < self.drawn_until;
        let needed = if in_time { self.missing_tokens() } else { 0.0 };
        self.drawn = tokens.min(needed);
    }

    /// Tokens that the waiting requests need beyond those in the bucket and the drawn ones.
    fn missing_tokens(&self) -> f64 {
        (self.waiting_count() - self.bucket.tokens().floor() - self.drawn).max(0.0)
    }

    fn take_drawn(&mut self) -> bool {
        let enough = self.drawn >= 1.0;
        if enough {
            self.drawn -= 1.0;
        }
        enough
    }

    /// Records that the VM was suspended for `time`, during which the clock did not
    /// advance, and ends the lease earlier by that time.
    pub fn suspend(&mut self, time: Duration, now: Instant) {
        let expires = self.expires.map(|at| at.checked_sub(time).unwrap_or(now));
        self.expires = expires;
        self.advance(now);
    }

    /// Creates the report for the next lease request. Released tokens are in one
    /// report only; if it is lost, they are lost as well.
    pub fn report(&mut self, now: Instant) -> report::Report {
        self.advance(now);
        let demand_per_second = self.demand.per_second(now);
        self.reported = Some(Reported {
            at: now,
            demand_per_second,
        });
        report::Report {
            held: self.bucket.share(),
            released: std::mem::take(&mut self.released),
            demand_per_second,
            wanted: self.missing_tokens(),
        }
    }

    /// Records that the owner may not have received the latest report.
    pub fn mark_unreported(&mut self) {
        self.reported = None;
    }

    /// Time from which the team should be reported without waiting for the next
    /// regular report; `None` when the regular report is enough.
    #[must_use]
    pub fn urgent_from(&self, now: Instant) -> Option<Instant> {
        let demand = self.demand.per_second(now);
        let Some(reported) = self.reported else {
            return (demand >= IDLE_PER_SECOND).then_some(now);
        };
        let growth = demand - reported.demand_per_second;
        let relative_growth = URGENT_GROWTH_RATIO * reported.demand_per_second;
        if self.is_starved() {
            return Some(now);
        }
        let urgent = growth > relative_growth.max(URGENT_GROWTH_PER_SECOND);
        urgent.then(|| reported.at + URGENT_INTERVAL)
    }

    /// Whether the node has a lease, even of an empty share. Without a lease, a
    /// refusal does not mean that the team's rate is used up.
    #[must_use]
    pub fn is_leased(&self, now: Instant) -> bool {
        self.expires.is_some_and(|at| at > now)
    }

    /// Whether a lease request that is sent now should include the team.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        if self.is_idle(now) {
            return false;
        }
        let old = |reported: Reported| now >= reported.at + MIN_SHARED_REPORT_AGE;
        let urgent = self.urgent_from(now).is_some_and(|from| from <= now);
        urgent || self.reported.is_none_or(old)
    }

    /// Whether there is nothing to report on the team.
    #[must_use]
    pub fn is_idle(&self, now: Instant) -> bool {
        let unused = self.demand.per_second(now) < IDLE_PER_SECOND;
        let holds = self.is_leased(now) && (self.bucket.has_share() || self.released > 0.0);
        unused && !holds && self.waiting.is_empty()
    }

    /// Whether the first or the last waiting request cannot get a token in time
    /// without a new grant.
    fn is_starved(&self) -> bool {
        let ends = [self.waiting.front(), self.waiting.back()];
        let needs = [1.0, self.waiting_count()];
        let mut waiters = ends.into_iter().flatten().zip(needs);
        waiters.any(|(waiter, need)| {
            let token = self.bucket.nth_token(need);
            token.is_none_or(|token| token > waiter.patience.until)
        })
    }

    /// Until when a request waits, as far as is known now.
    fn end_of_wait(&self, waiter: &Waiter<T>) -> Instant {
        let patience = waiter.patience;
        let latest = patience.unanswered.max(patience.until);
        if self.answered.is_none_or(|sent| sent < waiter.since) {
            return latest;
        }
        // After a silence the owner has no tokens at first, and many requests wait for them.
        let resumed = self.resumed.filter(|resumed| *resumed >= waiter.since);
        let backlog_ends = resumed.map(|resumed| resumed + BACKLOG_TIME);
        backlog_ends.map_or(patience.until, |ends| ends.min(latest).max(patience.until))
    }

    /// Number of waiting requests.
    fn waiting_count(&self) -> f64 {
        f64::from(u32::try_from(self.waiting.len()).unwrap_or(u32::MAX))
    }

    /// Removes a share whose lease has ended, and adds the tokens earned since the
    /// last call.
    fn advance(&mut self, now: Instant) {
        if self.expires.is_some_and(|expires| expires <= now) {
            self.expires = None;
            self.released = 0.0;
            self.reported = None;
            self.bucket.clear();
        }
        if self.drawn_until <= now {
            self.drawn = 0.0;
        }
        self.bucket.advance(now);
    }
}
