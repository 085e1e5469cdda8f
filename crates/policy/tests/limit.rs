//! The adaptive concurrency limit on a model of a target that queues requests
//! beyond its slots.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use fastrand::Rng;
use masticarch_policy::limit::{Limiter, adaptive, sample};

/// A target with slots and its own queue, with as many requests in flight as limit
/// and demand allow.
struct Model {
    limiter: adaptive::Adaptive,
    slots: usize,
    demand: u32,
    /// Draws a service time in seconds.
    service: fn(&mut Rng) -> f64,
    slowdown: f64,
    rng: Rng,
    now: Instant,
    /// End and arrival of each request in a slot.
    running: BinaryHeap<Reverse<(Instant, Instant)>>,
    /// Arrivals of the requests in the target's queue.
    waiting: VecDeque<Instant>,
}

fn model(announced: u32, slots: usize, demand: u32, service: fn(&mut Rng) -> f64) -> Model {
    seeded_model(7, announced, slots, demand, service)
}

fn seeded_model(
    seed: u64,
    announced: u32,
    slots: usize,
    demand: u32,
    service: fn(&mut Rng) -> f64,
) -> Model {
    Model {
        limiter: adaptive::Adaptive::new(announced, announced * 8),
        slots,
        demand,
        service,
        slowdown: 1.0,
        rng: Rng::with_seed(seed),
        now: Instant::now(),
        running: BinaryHeap::new(),
        waiting: VecDeque::new(),
    }
}

/// Service times of a fast target with little noise, in seconds.
fn steady(rng: &mut Rng) -> f64 {
    0.018 + 0.004 * rng.f64()
}

/// Service times of a slow target with little noise, in seconds.
fn slow(rng: &mut Rng) -> f64 {
    0.120 + 0.040 * rng.f64()
}

/// Exponential service times in seconds: the standard deviation equals the mean.
fn noisy(rng: &mut Rng) -> f64 {
    -0.020 * (1.0 - rng.f64()).ln()
}

impl Model {
    fn in_flight(&self) -> u32 {
        u32::try_from(self.running.len() + self.waiting.len()).unwrap()
    }

    fn fill(&mut self) {
        while self.in_flight() < self.limiter.current().min(self.demand) {
            self.waiting.push_back(self.now);
        }
        while self.running.len() < self.slots {
            let Some(begun) = self.waiting.pop_front() else {
                return;
            };
            let seconds = (self.service)(&mut self.rng) * self.slowdown;
            let ends = self.now + Duration::from_secs_f64(seconds);
            self.running.push(Reverse((ends, begun)));
        }
    }

    /// Runs for a time and returns the mean limit over its second half.
    fn run(&mut self, seconds: f64) -> f64 {
        let half = self.now + Duration::from_secs_f64(seconds / 2.0);
        let end = self.now + Duration::from_secs_f64(seconds);
        let (mut sum, mut count) = (0.0, 0.0);
        while self.now < end {
            self.fill();
            let Reverse((ends, begun)) = self.running.pop().unwrap();
            let in_flight = self.in_flight() + 1;
            self.now = ends;
            let sample = sample::Sample::Complete(ends - begun);
            self.limiter.completed(sample, in_flight, self.now);
            if self.now > half {
                sum += f64::from(self.limiter.current());
                count += 1.0;
            }
        }
        sum / count
    }
}

// Guards against an initial limit that overloads a target which has just started.
#[test]
fn starts_at_a_quarter_of_the_slots() {
    let limiter = adaptive::Adaptive::new(70, 530);

    assert_eq!(limiter.current(), 17);
}

// Guards against a limit that leaves slots idle or fills the target's queue.
#[test]
fn finds_the_slots_of_a_target() {
    for slots in [5, 15, 70] {
        let mut model = model(u32::try_from(slots).unwrap(), slots, u32::MAX, steady);

        let limit = model.run(20.0);

        let ratio = limit / f64::from(u32::try_from(slots).unwrap());
        assert!((0.9..=1.6).contains(&ratio), "{slots} slots: {limit}");
    }
}

// Guards against a limit at the announced slots when the target has fewer.
#[test]
fn finds_fewer_slots_than_announced() {
    let mut model = model(70, 14, u32::MAX, steady);

    let limit = model.run(30.0);

    assert!((12.0..=24.0).contains(&limit), "{limit}");
}

// Guards against a collapse of the limit when latency is mostly noise.
#[test]
fn keeps_its_limit_under_noise() {
    for seed in 0..10 {
        for slots in [15, 70] {
            let announced = u32::try_from(slots).unwrap();
            let mut model = seeded_model(seed, announced, slots, u32::MAX, noisy);

            let limit = model.run(30.0);

            let ratio = limit / f64::from(announced);
            assert!((0.85..=1.9).contains(&ratio), "seed {seed}: {ratio}");
        }
    }
}

// Guards against a limit that grows far above the slots while it is not in use,
// and then lets a surge pass.
#[test]
fn does_not_grow_while_unused() {
    let mut model = model(70, 70, 8, noisy);

    model.run(30.0);

    assert_eq!(model.limiter.current(), 17);
}

// Guards against a limit that stays low after a slowdown has ended.
#[test]
fn recovers_within_two_seconds_after_a_slowdown() {
    let mut model = model(70, 70, u32::MAX, steady);
    model.run(10.0);
    model.slowdown = 5.0;
    model.run(10.0);

    model.slowdown = 1.0;
    let limit = model.run(2.0);

    assert!(limit >= 0.95 * 70.0, "{limit}");
}

// Guards against a limit that stays low after a slowdown of a slow target with few
// slots has ended, because few answers arrive in that time.
#[test]
fn recovers_within_two_seconds_at_a_slow_target() {
    for seed in 0..20 {
        let mut model = seeded_model(seed, 14, 14, u32::MAX, slow);
        model.run(10.0);
        model.slowdown = 5.0;
        model.run(7.0);

        model.slowdown = 1.0;
        model.run(2.0);

        let limit = model.limiter.current();
        assert!(limit >= 10, "seed {seed}: {limit}");
    }
}

// Guards against a limit of 0, which no answer could raise again.
#[test]
fn stays_at_least_one_when_everything_times_out() {
    let mut limiter = adaptive::Adaptive::new(10, 100);
    let start = Instant::now();

    for step in 0..10_000 {
        let now = start + Duration::from_secs(10) + Duration::from_millis(step);
        let latency = Duration::from_millis(20 + step);
        let sample = sample::Sample::AtLeast(latency.min(Duration::from_secs(2)));
        limiter.completed(sample, limiter.current(), now);
    }

    assert!(
        (1..=10).contains(&limiter.current()),
        "{}",
        limiter.current()
    );
}

// Guards against fast failures that lower the reference latency, and so the limit
// once the target answers again.
#[test]
fn fast_failures_do_not_count_as_latency() {
    let mut model = model(20, 20, u32::MAX, steady);
    let before = model.run(10.0);

    for _ in 0..1000 {
        let sample = sample::Sample::AtLeast(Duration::from_micros(100));
        model.limiter.completed(sample, 20, model.now);
    }
    let after = model.run(1.0);

    assert!(after >= 0.8 * before, "{before} {after}");
}
