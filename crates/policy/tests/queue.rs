//! Order, bounds and fairness of the admission queue.

use std::time::{Duration, Instant};

use fastrand::Rng;
use masticarch_model::name;
use masticarch_policy::queue::{bounded, bounds, descriptor, push};

const MAX_WAIT: Duration = Duration::from_millis(100);
const SERVICE_TIME: Duration = Duration::from_millis(20);

fn bounds(max_entries: usize) -> bounds::Bounds {
    bounds::Bounds {
        max_wait: MAX_WAIT,
        max_work: Duration::MAX,
        min_entries: 0,
        max_entries,
    }
}

fn descriptor(rank: u8, team: &str, weight: u16, now: Instant) -> descriptor::Descriptor {
    descriptor::Descriptor {
        rank,
        team: Some(name::Name::new(team)),
        weight,
        deadline: now + Duration::from_secs(2),
        service_time: SERVICE_TIME,
    }
}

fn pop_all(queue: &mut bounded::Queue<u32>, now: Instant) -> Vec<u32> {
    std::iter::from_fn(|| queue.pop(now).map(|dequeued| dequeued.item)).collect()
}

// Guards against a request that goes before one of a higher priority.
#[test]
fn higher_priority_goes_first() {
    let now = Instant::now();
    let mut queue = bounded::Queue::default();
    for (item, rank) in [(0, 2), (1, 0), (2, 1), (3, 0)] {
        queue.push(&descriptor(rank, "a", 1, now), item, &bounds(10), now);
    }

    let order = pop_all(&mut queue, now);

    assert_eq!(order, [1, 3, 2, 0]);
}

// Guards against one team that fills the queue and starves the others.
#[test]
fn teams_are_served_in_proportion_to_weight() {
    let now = Instant::now();
    let mut queue = bounded::Queue::default();
    for item in 0..400 {
        let (team, weight) = if item < 300 { ("big", 1) } else { ("small", 3) };
        queue.push(&descriptor(0, team, weight, now), item, &bounds(1000), now);
    }

    let order = pop_all(&mut queue, now);

    let small = order[..120].iter().filter(|item| **item >= 300).count();
    assert!((88..=92).contains(&small), "{small}");
}

// Guards against a team that saves up service while it is idle, and then delays
// the other teams.
#[test]
fn idle_team_cannot_save_up_service() {
    let now = Instant::now();
    let mut queue = bounded::Queue::default();
    queue.push(&descriptor(0, "late", 1, now), 999, &bounds(1000), now);
    queue.pop(now);
    for item in 0..200 {
        queue.push(&descriptor(0, "busy", 1, now), item, &bounds(1000), now);
    }
    for _ in 0..100 {
        queue.pop(now);
    }
    for item in 1000..1100 {
        queue.push(&descriptor(0, "late", 1, now), item, &bounds(1000), now);
    }

    let order = pop_all(&mut queue, now);

    let late = order[..40].iter().filter(|item| **item >= 1000).count();
    assert!((19..=21).contains(&late), "{late}");
}

// Guards against requests that run although they cannot end before their deadline.
#[test]
fn requests_expire_before_they_cannot_end_in_time() {
    let now = Instant::now();
    let mut queue = bounded::Queue::default();
    let mut short = descriptor(0, "a", 1, now);
    short.deadline = now + Duration::from_millis(50);
    queue.push(&short, 1, &bounds(10), now);
    queue.push(&descriptor(0, "a", 1, now), 2, &bounds(10), now);

    let at_30_ms = queue.expire(now + Duration::from_millis(30));
    let later = queue.expire(now + Duration::from_millis(99));

    assert_eq!(at_30_ms.map(|dequeued| dequeued.item), Some(1));
    assert_eq!(later, None);
    assert_eq!(queue.next_expiry(), Some(now + MAX_WAIT));
}

// Guards against a queued request that cannot end before its deadline.
#[test]
fn request_without_enough_time_is_turned_away() {
    let now = Instant::now();
    let mut queue = bounded::Queue::default();
    let mut late = descriptor(0, "a", 1, now);
    late.deadline = now + Duration::from_millis(19);

    let pushed = queue.push(&late, 1, &bounds(10), now);

    assert_eq!(pushed, push::Outcome::TooLate(1));
}

// Guards against dropping a request while others of a lower priority wait.
#[test]
fn full_queue_drops_the_lowest_priority_first() {
    let now = Instant::now();
    let mut queue = bounded::Queue::default();
    for (item, rank) in [(0, 1), (1, 2), (2, 2)] {
        queue.push(&descriptor(rank, "a", 1, now), item, &bounds(3), now);
    }

    let higher = queue.push(&descriptor(0, "a", 1, now), 3, &bounds(3), now);
    let lower = queue.push(&descriptor(3, "a", 1, now), 4, &bounds(3), now);

    assert_eq!(higher, push::Outcome::Displaced(2, 2));
    assert_eq!(lower, push::Outcome::Full(4));
}

// Guards against a team that fills the queue and so keeps other teams out.
#[test]
fn full_queue_makes_room_for_a_team_with_less_backlog() {
    let now = Instant::now();
    let mut queue = bounded::Queue::default();
    for item in 0..3 {
        queue.push(&descriptor(0, "flood", 1, now), item, &bounds(3), now);
    }

    let quiet = queue.push(&descriptor(0, "quiet", 1, now), 3, &bounds(3), now);
    let flood = queue.push(&descriptor(0, "flood", 1, now), 4, &bounds(3), now);

    assert_eq!(quiet, push::Outcome::Displaced(2, 0));
    assert_eq!(flood, push::Outcome::Full(4));
}

// Guards against requests that are lost or returned twice, under random sequences
// of operations.
#[test]
fn every_request_leaves_exactly_once() {
    for seed in 0..50 {
        let mut rng = Rng::with_seed(seed);
        let mut now = Instant::now();
        let mut queue = bounded::Queue::default();
        let mut left = vec![0_u32; 2000];
        for item in 0..2000_u32 {
            now += Duration::from_micros(rng.u64(0..3000));
            let team = ["a", "b", "c"][rng.usize(..3)];
            let descriptor = descriptor(rng.u8(..4), team, rng.u16(1..5), now);
            match queue.push(&descriptor, item, &bounds(20), now) {
                push::Outcome::Queued => {}
                push::Outcome::Displaced(other, _)
                | push::Outcome::Full(other)
                | push::Outcome::TooLate(other) => left[other as usize] += 1,
            }
            while let Some(dequeued) = queue.expire(now) {
                left[dequeued.item as usize] += 1;
            }
            if rng.bool()
                && let Some(dequeued) = queue.pop(now)
            {
                left[dequeued.item as usize] += 1;
            }
            assert!(queue.len() <= 20, "seed {seed}");
        }
        for item in queue.drain() {
            left[item as usize] += 1;
        }

        assert!(left.iter().all(|count| *count == 1), "seed {seed}");
    }
}

// Guards against a queue that is bounded by the number of requests, although they are of
// very different lengths.
#[test]
fn queue_is_bounded_by_the_work_in_it() {
    let now = Instant::now();
    let long = Duration::from_secs(1);
    let bounds = bounds::Bounds {
        max_wait: MAX_WAIT,
        max_work: 4 * long,
        min_entries: 2,
        max_entries: 1000,
    };
    let accepted = |service_time| {
        let mut queue = bounded::Queue::default();
        let descriptor = descriptor::Descriptor {
            service_time,
            ..descriptor(0, "a", 1, now)
        };
        let outcomes = (0..100).map(|item| queue.push(&descriptor, item, &bounds, now));
        let queued = outcomes.filter(|outcome| matches!(outcome, push::Outcome::Queued));
        queued.count()
    };

    assert_eq!(accepted(long), 4);
    assert_eq!(accepted(SERVICE_TIME), 100);
}
