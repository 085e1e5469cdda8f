//! Concurrency limit, admission queue and service time estimate together, on a
//! model of an overloaded target.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use fastrand::Rng;
use masticarch_policy::ewma;
use masticarch_policy::limit::{Limiter, adaptive, sample};
use masticarch_policy::queue::{bounded, bounds, descriptor, push};

const SLOTS: usize = 20;
const SERVICE_SECONDS: f64 = 0.020;
/// Requests per second that the target can serve.
const CAPACITY: f64 = 1000.0;
const TIMEOUT: Duration = Duration::from_secs(1);
/// Resends by a caller whose request fails.
const RESENDS: u8 = 3;

/// A request on its way to the target, ordered by its time of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    arrives: Instant,
    rank: u8,
    resends: u8,
}

/// Numbers of requests by rank: served within the timeout, lost after their last
/// resend, and offered by callers (without resends). A request still on its way at the
/// end is neither served nor lost.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    served: [u32; 2],
    lost: [u32; 2],
    offered: [u32; 2],
}

impl Counts {
    fn total_served(&self) -> f64 {
        f64::from(self.served.iter().sum::<u32>())
    }
}

/// A target behind an admission queue, with callers that resend failed requests.
struct Model {
    limiter: adaptive::Adaptive,
    queue: bounded::Queue<Request>,
    service: ewma::Ewma,
    rng: Rng,
    now: Instant,
    arrivals: BinaryHeap<Reverse<Request>>,
    /// Requests in a slot, with the times at which they end and were dispatched.
    running: BinaryHeap<Reverse<(Instant, Instant, Request)>>,
    /// Requests in the target's own queue, with the times at which they were dispatched.
    waiting: VecDeque<(Instant, Request)>,
    slowdown: f64,
    counts: Counts,
}

fn model(seed: u64) -> Model {
    let slots = u32::try_from(SLOTS).unwrap();
    Model {
        limiter: adaptive::Adaptive::new(slots, 160),
        queue: bounded::Queue::default(),
        service: ewma::Ewma::default(),
        rng: Rng::with_seed(seed),
        now: Instant::now(),
        arrivals: BinaryHeap::new(),
        running: BinaryHeap::new(),
        waiting: VecDeque::new(),
        slowdown: 1.0,
        counts: Counts::default(),
    }
}

impl Model {
    /// Runs for a time with these rates of new requests by rank.
    fn run(&mut self, seconds: f64, per_second: [f64; 2]) -> Counts {
        self.counts = Counts::default();
        let end = self.now + Duration::from_secs_f64(seconds);
        for (rank, rate) in (0..).zip(per_second) {
            self.offer(rank, rate, end);
        }
        while let Some(at) = self.next_event().filter(|at| *at < end) {
            self.now = at;
            self.step();
        }
        self.now = end;
        self.counts
    }

    fn offer(&mut self, rank: u8, per_second: f64, end: Instant) {
        let mut arrives = self.now;
        loop {
            let gap = -(1.0 - self.rng.f64()).ln() / per_second;
            arrives += Duration::from_secs_f64(gap);
            if arrives >= end {
                return;
            }
            self.counts.offered[usize::from(rank)] += 1;
            self.arrivals.push(Reverse(Request {
                arrives,
                rank,
                resends: RESENDS,
            }));
        }
    }

    fn next_event(&self) -> Option<Instant> {
        let arrival = self.arrivals.peek().map(|entry| entry.0.arrives);
        let end = self.running.peek().map(|entry| entry.0.0);
        let expiry = self.queue.next_expiry();
        [arrival, end, expiry].into_iter().flatten().min()
    }

    fn step(&mut self) {
        while let Some(dequeued) = self.queue.expire(self.now) {
            self.resend(dequeued.item);
        }
        if self
            .arrivals
            .peek()
            .is_some_and(|next| next.0.arrives <= self.now)
        {
            let Reverse(request) = self.arrivals.pop().unwrap();
            self.enter(request);
        }
        if self.running.peek().is_some_and(|next| next.0.0 <= self.now) {
            let Reverse((_, begun, request)) = self.running.pop().unwrap();
            self.complete(begun, request);
        }
        self.dispatch();
    }

    fn enter(&mut self, request: Request) {
        let idle = self.in_flight() == 0;
        let service = self.service.mean();
        let descriptor = descriptor::Descriptor {
            rank: request.rank,
            team: None,
            weight: 1,
            deadline: request.arrives + TIMEOUT,
            service_time: if idle { Duration::ZERO } else { service },
        };
        let bounds = bounds::Bounds {
            max_wait: Duration::from_millis(100),
            max_work: Duration::MAX,
            min_entries: 0,
            max_entries: 200,
        };
        match self.queue.push(&descriptor, request, &bounds, self.now) {
            push::Outcome::Queued => {}
            push::Outcome::Displaced(other, _)
            | push::Outcome::Full(other)
            | push::Outcome::TooLate(other) => self.resend(other),
        }
    }

    fn complete(&mut self, begun: Instant, request: Request) {
        let latency = self.now - begun;
        self.service.add(latency);
        let sample = sample::Sample::Complete(latency);
        self.limiter
            .completed(sample, self.in_flight() + 1, self.now);
        if self.now <= request.arrives + TIMEOUT {
            self.counts.served[usize::from(request.rank)] += 1;
        } else {
            self.resend(request);
        }
    }

    fn resend(&mut self, request: Request) {
        if request.resends > 0 {
            self.arrivals.push(Reverse(Request {
                arrives: self.now + Duration::from_millis(10),
                resends: request.resends - 1,
                ..request
            }));
        } else {
            self.counts.lost[usize::from(request.rank)] += 1;
        }
    }

    fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len() + self.waiting.len()).unwrap()
    }

    fn dispatch(&mut self) {
        while self.in_flight() < self.limiter.current() {
            let Some(dequeued) = self.queue.pop(self.now) else {
                break;
            };
            self.waiting.push_back((self.now, dequeued.item));
        }
        while self.running.len() < SLOTS {
            let Some((begun, request)) = self.waiting.pop_front() else {
                return;
            };
            let seconds = SERVICE_SECONDS * (0.5 + self.rng.f64()) * self.slowdown;
            let ends = self.now + Duration::from_secs_f64(seconds);
            self.running.push(Reverse((ends, begun, request)));
        }
    }
}

// Guards against capacity lost to queueing and timeouts in a surge, and against
// refusals of the highest priority while others run.
#[test]
fn surge_keeps_goodput_and_the_highest_priority() {
    for seed in 0..5 {
        let mut model = model(seed);
        model.run(10.0, [300.0, 300.0]);

        let counts = model.run(5.0, [600.0, 9400.0]);

        let goodput = counts.total_served() / (5.0 * CAPACITY);
        assert!(goodput >= 0.9, "seed {seed}: {goodput}");
        let lost = f64::from(counts.lost[0]) / f64::from(counts.offered[0]);
        assert!(lost <= 0.001, "seed {seed}: {lost}");
    }
}

// Guards against overload that resends sustain after its cause has ended.
#[test]
fn goodput_returns_within_two_seconds_after_a_slowdown() {
    for seed in 0..5 {
        let mut model = model(seed);
        model.run(8.0, [100.0, 700.0]);
        let before = model.run(2.0, [100.0, 700.0]);
        model.slowdown = 5.0;
        model.run(10.0, [100.0, 700.0]);
        model.slowdown = 1.0;
        model.run(2.0, [100.0, 700.0]);

        let after = model.run(2.0, [100.0, 700.0]);

        let part = after.total_served() / before.total_served();
        assert!(part >= 0.95, "seed {seed}: {part}");
    }
}
