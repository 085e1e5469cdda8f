//! A target beside this node, with its concurrency limiter and its queue.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticarch_model::{name, target};
use masticarch_policy::credit::outcome;
use masticarch_policy::estimate::table;
use masticarch_policy::limit::{Limiter, rate, sample};
use masticarch_policy::outlier::breaker;
use masticarch_policy::queue;
use masticarch_policy::queue::{bounded, bounds, dequeued, descriptor, push};
use masticarch_policy::shed::level;
use slotmap::new_key_type;

use crate::admission::{message, summary, waiter};
use crate::protocol::notice;

new_key_type! {
    /// Key of a target beside this node.
    pub struct Key;
}

/// Requests that may wait whatever their work, for targets with a concurrency limit near 1.
const MIN_QUEUE_ENTRIES: u32 = 32;
/// Largest bound on queue entries; it bounds memory when the estimates are wrong.
const MAX_QUEUE_ENTRIES: u32 = 10_000;
/// Shortest time without any answer after which a target with requests in flight counts as
/// failed.
const MIN_SILENCE: Duration = Duration::from_secs(1);
/// That time in mean service times of the slowest route.
const SILENCE_FACTOR: u32 = 4;
/// That time while no service time is known.
const UNKNOWN_SILENCE: Duration = Duration::from_secs(10);

/// A target beside this node, with its concurrency limiter `L`, its rate limit, its queue
/// and its level of load shedding.
#[derive(Debug)]
pub struct Target<L> {
    /// The target as it was last announced.
    pub announced: target::Target,
    /// Address at which the target listens.
    pub address: SocketAddr,
    limiter: L,
    rate: rate::Rate,
    queue: bounded::Queue<waiter::Waiter>,
    queue_limit: Duration,
    level: level::Level,
    /// Service times by route.
    service_times: table::Table<name::Name>,
    in_flight: u32,
    notice: notice::Notice,
    /// Whether the target has answered a request since it was announced.
    answered: bool,
    breaker: breaker::Breaker,
}

impl<L: Limiter> Target<L> {
    /// A target that is announced for the first time. `queue_limit` is the longest wait
    /// in its queue.
    pub fn new(
        announced: target::Target,
        address: SocketAddr,
        queue_limit: Duration,
        now: Instant,
    ) -> Self {
        Self {
            limiter: L::new(announced.slots, announced.connections),
            announced,
            address,
            rate: rate::Rate::new(now),
            queue: bounded::Queue::default(),
            queue_limit,
            level: level::Level::new(queue_limit, now),
            service_times: table::Table::default(),
            in_flight: 0,
            notice: notice::Notice::default(),
            answered: false,
            breaker: breaker::Breaker::new(now),
        }
    }

    /// Applies a changed announcement.
    pub fn update(&mut self, announced: target::Target, address: SocketAddr) {
        self.limiter.resize(announced.slots, announced.connections);
        self.announced = announced;
        self.address = address;
    }

    /// Pushes a request into the queue. If the queue refuses or displaces a request for
    /// lack of capacity, the shedding level records the drop.
    pub fn push(&mut self, waiter: waiter::Waiter, now: Instant) -> push::Outcome<waiter::Waiter> {
        let descriptor = descriptor::Descriptor {
            rank: waiter.entry.rank,
            team: waiter.entry.team.clone(),
            weight: waiter.entry.weight,
            deadline: waiter.entry.deadline,
            service_time: self.expected_time(&waiter.entry.route),
        };
        self.level.record_offer(descriptor.rank);
        let pushed = self.queue.push(&descriptor, waiter, &self.bounds(), now);
        match &pushed {
            queue::push::Outcome::Displaced(_, rank) => self.level.record_drop(*rank, now),
            queue::push::Outcome::Full(_) => self.level.record_drop(descriptor.rank, now),
            queue::push::Outcome::Queued | queue::push::Outcome::TooLate(_) => {}
        }
        pushed
    }

    /// Removes a request that has waited too long, if there is one.
    pub fn expire(&mut self, now: Instant) -> Option<waiter::Waiter> {
        let dequeued = self.queue.expire(now)?;
        self.level.record_drop(dequeued.rank, now);
        Some(dequeued.item)
    }

    /// Removes the next request to run, if the concurrency and the rate limit allow one.
    pub fn pop(&mut self, now: Instant) -> Option<waiter::Waiter> {
        while self.in_flight < self.limiter.current() && self.rate.is_ready(now) {
            let dequeued::Dequeued { item, waited, .. } = self.queue.pop(now)?;
            if item.reply.is_canceled() {
                continue;
            }
            self.level.record_wait(waited, now);
            self.in_flight += 1;
            self.breaker.record_start(now);
            self.rate.take(now);
            return Some(item);
        }
        None
    }

    /// Whether the target may get a request, as far as its failures are concerned.
    pub fn is_sound(&mut self, now: Instant) -> bool {
        let patience = self.patience();
        let was_open = self.breaker.is_open();
        let admits = self.breaker.admits(patience, now);
        if !was_open && self.breaker.is_open() {
            self.log_breaker("the target has not answered for some time");
        }
        admits
    }

    /// Time without any answer after which the target counts as failed.
    fn patience(&self) -> Duration {
        let longest = self.service_times.longest();
        if longest.is_zero() {
            return UNKNOWN_SILENCE;
        }
        longest.saturating_mul(SILENCE_FACTOR).max(MIN_SILENCE)
    }

    /// Records that a call of the target has failed.
    pub fn record_failed_call(&mut self, now: Instant) {
        self.breaker.record_failed_call(now);
    }

    fn log_breaker(&self, reason: &str) {
        let service = &self.announced.service;
        let is_open = self.breaker.is_open();
        tracing::info!(%service, is_open, in_flight = self.in_flight, reason, "breaker of the target");
    }

    fn update_breaker(&mut self, end: message::End, now: Instant) -> bool {
        let was_open = self.breaker.is_open();
        let call_failed = self.breaker.record_end(end.outcome(), now);
        if was_open != self.breaker.is_open() {
            self.log_breaker("ends of requests");
        }
        call_failed
    }

    /// Records the end of a request on `route` that [`Self::pop`] returned. Returns whether
    /// it was an error that is due to a failed call of the target.
    pub fn record_end(&mut self, end: message::End, route: &name::Name, now: Instant) -> bool {
        let call_failed = self.update_breaker(end, now);
        // The limiter compares mean latencies, which a changed mix of routes must not change.
        let normalise = |time| self.service_times.normalise(route, time, now);
        let sample = match end {
            message::End::Answered(time) | message::End::Errored(time) => {
                Some(sample::Sample::Complete(normalise(time)))
            }
            message::End::Refused(time)
            | message::End::Failed(time)
            | message::End::Cancelled(time) => Some(sample::Sample::AtLeast(normalise(time))),
            message::End::NotRun | message::End::Unreachable => {
                self.rate.put_back();
                None
            }
        };
        if let Some(sample) = sample {
            self.limiter.completed(sample, self.in_flight, now);
        }
        if let message::End::Answered(time) | message::End::Errored(time) = end {
            self.service_times.add(route, time, now);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        call_failed
    }

    /// Records what the target states in the answer to a request that was sent at `sent`;
    /// returns whether it stated something else before.
    pub fn observe(&mut self, notice: notice::Notice, sent: Instant, now: Instant) -> bool {
        match notice.rate_limit {
            notice::RateLimit::PerSecond(rate) => self.rate.record_limit(rate, now),
            notice::RateLimit::Absent => self.rate.record_no_limit(sent),
            notice::RateLimit::Unreadable => {}
        }
        self.answered = true;
        let changed = self.notice != notice;
        self.notice = notice;
        changed
    }

    /// Applies the rate limit that the entry node of a request knows of, as long as the
    /// target has not answered this node; returns whether it differs from the present one.
    pub fn adopt_rate_limit(&mut self, per_second: f64, now: Instant) -> bool {
        if self.answered {
            return false;
        }
        let changed = self.rate.per_second() != Some(per_second);
        self.rate.record_limit(per_second, now);
        changed
    }

    /// When the next queued request expires, or may run under the rate limit.
    pub fn wake(&self) -> Option<Instant> {
        let expiry = self.queue.next_expiry()?;
        let may_run = self.in_flight < self.limiter.current();
        let next = self.rate.next().filter(|_| may_run);
        Some(next.map_or(expiry, |next| next.min(expiry)))
    }

    /// Removes every queued request.
    pub fn drain(&mut self) -> Vec<waiter::Waiter> {
        self.queue.drain()
    }

    /// Summary for an answer whose call tree has this outcome.
    pub fn summary(&self, outcome: outcome::Outcome, now: Instant) -> summary::Summary {
        summary::Summary {
            call_failed: false,
            credit: outcome.credit,
            executions: outcome.executions,
            overload: self.level.current(now),
            limit: self.limit(now),
            in_flight: self.in_flight(now),
            rate_limit: self.rate.per_second(),
        }
    }

    /// The concurrency limit, or the concurrency to which the rate limit leads if that is
    /// lower.
    fn limit(&self, now: Instant) -> u32 {
        let limit = self.limiter.current();
        let by_rate = self.rate.requests_in(self.service_times.mean(now));
        by_rate.map_or(limit, |by_rate| by_rate.min(limit))
    }

    /// Requests in flight, as other nodes are told: a target that takes no request now
    /// because of its rate limit counts as full.
    fn in_flight(&self, now: Instant) -> u32 {
        if self.rate.is_ready(now) {
            self.in_flight
        } else {
            self.in_flight.max(self.limit(now))
        }
    }

    /// Expected service time of a request on `route`. It is zero while nothing is in flight:
    /// if the estimate were too high, all requests would be refused and no answer would ever
    /// correct it.
    fn expected_time(&self, route: &name::Name) -> Duration {
        if self.in_flight == 0 {
            return Duration::ZERO;
        }
        self.service_times.service_time(route).unwrap_or_default()
    }

    /// The queue takes twice the work that can leave it within the longest wait, and no
    /// more requests than the rate limit lets pass in that time.
    fn bounds(&self) -> bounds::Bounds {
        let by_rate = self.rate.requests_in(self.queue_limit);
        let max_entries =
            by_rate.map_or(MAX_QUEUE_ENTRIES, |by_rate| by_rate.min(MAX_QUEUE_ENTRIES));
        bounds::Bounds {
            max_wait: self.queue_limit,
            max_work: self
                .queue_limit
                .saturating_mul(self.limiter.current().saturating_mul(2)),
            min_entries: MIN_QUEUE_ENTRIES as usize,
            max_entries: max_entries as usize,
        }
    }
}
