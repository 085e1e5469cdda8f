//! Holder of a leased share of a fleet-wide rate, on a node.

use std::time::{Duration, Instant};

use fastrand::Rng;
use masticarch_policy::share::{Share, decision, holder};

fn share(rate_per_second: f64, burst: f64) -> Share {
    Share {
        rate_per_second,
        burst,
    }
}

fn granted(rate_per_second: f64, burst: f64, tokens: f64, now: Instant) -> holder::Holder<u32> {
    let mut holder = holder::Holder::new(now);
    holder.grant(share(rate_per_second, burst), tokens, now, now);
    holder
}

/// A model of the owner, with the share counted for each node and the free tokens.
struct Owner {
    rate: f64,
    burst: f64,
    counted: Vec<Share>,
    tokens: f64,
    at: Instant,
}

impl Owner {
    fn free(&self) -> Share {
        let rate: f64 = self.counted.iter().map(|share| share.rate_per_second).sum();
        let burst: f64 = self.counted.iter().map(|share| share.burst).sum();
        share((self.rate - rate).max(0.0), (self.burst - burst).max(0.0))
    }

    fn advance(&mut self, now: Instant) {
        let free = self.free();
        let earned = (now - self.at).as_secs_f64() * free.rate_per_second;
        self.tokens = (self.tokens + earned).min(free.burst);
        self.at = now;
    }

    /// Answers a report with a random share and tokens. The larger of old and new
    /// share is counted until the next report.
    fn exchange(
        &mut self,
        node: usize,
        held: Share,
        released: f64,
        rng: &mut Rng,
        now: Instant,
    ) -> (Share, f64) {
        self.advance(now);
        self.counted[node] = held;
        let free = self.free();
        self.tokens = (self.tokens + released).min(free.burst);
        let part = rng.f64();
        let granted = share(
            part * (held.rate_per_second + free.rate_per_second),
            part * (held.burst + free.burst),
        );
        self.counted[node] = share(
            granted.rate_per_second.max(held.rate_per_second),
            granted.burst.max(held.burst),
        );
        let moved = self.tokens.min((granted.burst - held.burst).max(0.0));
        self.tokens = (self.tokens - moved).min(self.free().burst);
        (granted, moved)
    }
}

// Guards against a team that gets more than its rate and burst over all nodes
// while shares move between them and replies are lost.
#[test]
fn fleet_never_exceeds_rate_and_burst() {
    for seed in 0..30 {
        let mut rng = Rng::with_seed(seed);
        let mut now = Instant::now();
        let (rate, burst) = (100.0, 40.0);
        let mut nodes: Vec<_> = (0..6).map(|_| holder::Holder::new(now)).collect();
        let mut owner = Owner {
            rate,
            burst,
            counted: vec![Share::default(); 6],
            tokens: burst,
            at: now,
        };
        let mut level: f64 = 0.0;
        for _ in 0..20_000 {
            let step = Duration::from_micros(rng.u64(0..4000));
            now += step;
            level = (level - rate * step.as_secs_f64()).max(0.0);
            let node = rng.usize(..6);
            if rng.u8(..20) == 0 {
                let report = nodes[node].report(now);
                let (held, released) = (report.held, report.released);
                let (granted, moved) = owner.exchange(node, held, released, &mut rng, now);
                if rng.u8(..10) > 0 {
                    nodes[node].grant(granted, moved, now, now);
                }
            }
            for node in &mut nodes {
                let decision = node.request(0, holder::Patience::until(now), now);
                if matches!(decision, decision::Decision::Pass(_)) {
                    level += 1.0;
                }
            }
            assert!(level <= burst + 1e-6, "seed {seed}: {level}");
        }
    }
}

// Guards against shares that are used after the owner has granted them to others.
#[test]
fn lease_is_counted_from_when_the_request_was_sent() {
    let sent = Instant::now();
    let mut holder = holder::Holder::new(sent);
    let arrived = sent + Duration::from_secs(1);
    holder.grant(share(100.0, 10.0), 10.0, sent, arrived);

    let before = holder.request(
        1,
        holder::Patience::until(sent),
        sent + Duration::from_millis(2849),
    );
    let after = holder.request(
        2,
        holder::Patience::until(sent),
        sent + holder::LEASE_DURATION,
    );

    assert_eq!(before, decision::Decision::Pass(1));
    assert_eq!(after, decision::Decision::Refuse(2));
}

// Guards against a reply that arrives after its lease has ended.
#[test]
fn late_grant_is_not_applied() {
    let sent = Instant::now();
    let now = sent + Duration::from_secs(6);
    let mut holder = holder::Holder::new(sent);

    holder.grant(share(100.0, 10.0), 10.0, sent, now);

    assert_eq!(
        holder.request(1, holder::Patience::until(now), now),
        decision::Decision::Refuse(1)
    );
}

// Guards against released tokens that the node keeps, or that the owner gets twice.
#[test]
fn shrinking_releases_tokens_in_one_report_only() {
    let now = Instant::now();
    let mut holder = granted(10.0, 10.0, 10.0, now);

    holder.grant(share(5.0, 4.0), 0.0, now, now);
    let (first, second) = (holder.report(now), holder.report(now));

    assert_eq!(first.held, share(5.0, 4.0));
    assert!((first.released - 6.0).abs() < 1e-9);
    assert!(second.released.abs() < 1e-9);
}

// Guards against refusals of requests that could get a token in time, and against
// new requests that go before waiting ones.
#[test]
fn requests_wait_for_tokens_in_order() {
    let now = Instant::now();
    let mut holder = granted(100.0, 10.0, 1.0, now);
    let until = now + Duration::from_millis(200);
    let decisions = [1, 2, 3].map(|item| holder.request(item, holder::Patience::until(until), now));

    let early = holder.next(now + Duration::from_millis(9));
    let wake = holder.next_wake().unwrap();
    let second = holder.next(wake);
    let newcomer = holder.request(
        4,
        holder::Patience::until(until),
        now + Duration::from_millis(21),
    );
    let third = holder.next(now + Duration::from_millis(21));

    assert_eq!(decisions[0], decision::Decision::Pass(1));
    assert_eq!(early, decision::Decision::Wait);
    assert_eq!(second, decision::Decision::Pass(2));
    assert_eq!(newcomer, decision::Decision::Wait);
    assert_eq!(third, decision::Decision::Pass(3));
}

// Guards against a waiting request that is neither passed nor refused.
#[test]
fn waiting_ends_in_a_refusal() {
    let now = Instant::now();
    let until = now + Duration::from_millis(200);
    let mut holder = holder::Holder::new(now);
    holder.request(1, holder::Patience::until(until), now);

    let wake = holder.next_wake();
    let outcome = holder.next(until);

    assert_eq!(wake, Some(until));
    assert_eq!(outcome, decision::Decision::Refuse(1));
}

// Guards against refusals while no owner answers, and against requests that wait longer once
// it has answered that there are no tokens.
#[test]
fn request_waits_longer_while_the_owner_is_silent() {
    let now = Instant::now();
    let patience = holder::Patience {
        until: now + Duration::from_millis(200),
        unanswered: now + Duration::from_millis(1500),
    };
    let answered = now + Duration::from_millis(900);
    let mut holder = holder::Holder::new(now);
    for item in [1, 2] {
        holder.request(item, patience, now);
    }

    let silent = holder.next(patience.until);
    let wake = holder.next_wake();
    holder.grant(share(0.0, 0.0), 0.0, answered, answered);
    holder.draw(1.0, answered, answered);
    let decisions = [(); 2].map(|()| holder.next(answered));
    let end = holder.next(patience.unanswered);

    assert_eq!(silent, decision::Decision::Wait);
    assert_eq!(wake, Some(patience.unanswered));
    assert_eq!(
        decisions,
        [decision::Decision::Pass(1), decision::Decision::Wait]
    );
    assert_eq!(end, decision::Decision::Refuse(2));
}

// Guards against requests that wait longer although the owner has answered in time.
#[test]
fn request_is_refused_in_time_by_an_owner_that_answers() {
    let now = Instant::now();
    let patience = holder::Patience {
        until: now + Duration::from_millis(200),
        unanswered: now + Duration::from_millis(1500),
    };
    let mut holder = holder::Holder::new(now);
    holder.request(1, patience, now);

    holder.grant(share(0.0, 0.0), 0.0, now, now + Duration::from_millis(60));
    let wake = holder.next_wake();
    let outcome = holder.next(patience.until);

    assert_eq!(wake, Some(patience.until));
    assert_eq!(outcome, decision::Decision::Refuse(1));
}

// Guards against drawn tokens that are drawn once more for the same requests.
#[test]
fn drawn_tokens_are_not_wanted_again() {
    let now = Instant::now();
    let mut holder = holder::Holder::new(now);
    holder.request(
        1,
        holder::Patience::until(now + Duration::from_millis(200)),
        now,
    );

    holder.draw(1.0, now, now);

    assert!(holder.report(now).wanted.abs() < 1e-9);
}

// Guards against a new team that waits for the next regular report to get a share.
#[test]
fn first_request_is_reported_at_once() {
    let now = Instant::now();
    let mut holder = holder::Holder::new(now);
    let before = holder.urgent_from(now);

    holder.request(1, holder::Patience::until(now), now);

    assert_eq!(before, None);
    assert_eq!(holder.urgent_from(now), Some(now));
}

// Guards against a share that does not grow in a surge before the next regular
// report, and against a report for each request of the surge.
#[test]
fn changed_demand_is_reported_after_the_interval() {
    let now = Instant::now();
    let mut holder = granted(100.0, 100.0, 100.0, now);
    holder.request(0, holder::Patience::until(now), now);
    holder.report(now);
    let steady = holder.urgent_from(now);

    for item in 0..10 {
        holder.request(item, holder::Patience::until(now), now);
    }

    assert_eq!(steady, None);
    let urgent = holder.urgent_from(now);
    assert_eq!(urgent, Some(now + holder::URGENT_INTERVAL));
}

// Guards against a team that was idle and waits for the next regular report.
#[test]
fn starved_request_is_urgent_again_after_an_empty_grant() {
    let now = Instant::now();
    let later = now + Duration::from_secs(4);
    let mut holder = granted(0.0, 0.0, 0.0, now);
    holder.report(now);

    holder.request(
        1,
        holder::Patience::until(later + Duration::from_millis(200)),
        later,
    );

    assert!(holder.urgent_from(later).is_some_and(|at| at <= later));
}

// Guards against waiting requests whose lack of tokens is reported only when they
// are first in the queue.
#[test]
fn starvation_behind_a_supplied_request_is_urgent() {
    let now = Instant::now();
    let until = now + Duration::from_millis(200);
    let mut holder = granted(10.0, 10.0, 0.0, now);
    holder.report(now);

    holder.request(1, holder::Patience::until(until), now);
    let supplied = holder.urgent_from(now);
    holder.request(2, holder::Patience::until(until), now);
    holder.request(3, holder::Patience::until(until), now);

    assert_eq!(supplied, None);
    assert_eq!(holder.urgent_from(now), Some(now));
}

// Guards against reports on all teams whenever one of them is urgent.
#[test]
fn team_is_due_when_it_starves_or_its_report_is_old() {
    let now = Instant::now();
    let soon = now + Duration::from_millis(100);
    let mut supplied = granted(100.0, 100.0, 100.0, now);
    let mut starved = granted(1.0, 1.0, 0.0, now);
    supplied.report(now);
    starved.report(now);

    starved.request(
        1,
        holder::Patience::until(soon + Duration::from_millis(100)),
        soon,
    );

    assert!(starved.is_due(soon));
    assert!(!supplied.is_due(soon));
    assert!(supplied.is_due(now + holder::REPORT_INTERVAL));
}

// Guards against a lease that ends because one report was lost.
#[test]
fn team_is_due_again_when_its_report_is_lost() {
    let now = Instant::now();
    let mut holder = granted(100.0, 100.0, 100.0, now);
    holder.report(now);

    holder.mark_unreported();

    assert!(holder.is_due(now));
}

// Guards against endless reports on teams that a node no longer serves.
#[test]
fn team_without_share_and_demand_is_idle() {
    let now = Instant::now();

    let (empty, held) = (granted(0.0, 0.0, 0.0, now), granted(1.0, 1.0, 0.0, now));

    assert!(empty.is_idle(now));
    assert!(!held.is_idle(now));
}

// Guards against refusals for other reasons that count towards a team's rate.
#[test]
fn refunded_token_can_be_used_once_more() {
    let now = Instant::now();
    let mut holder = granted(1.0, 1.0, 1.0, now);
    holder.request(1, holder::Patience::until(now), now);

    holder.refund(now);
    holder.refund(now);

    assert_eq!(
        holder.request(2, holder::Patience::until(now), now),
        decision::Decision::Pass(2)
    );
    assert_eq!(
        holder.request(3, holder::Patience::until(now), now),
        decision::Decision::Refuse(3)
    );
}

// Guards against a wrong measurement of demand, by which the owner allocates the
// rate.
#[test]
fn demand_follows_the_arrival_rate() {
    let mut now = Instant::now();
    let mut holder = holder::Holder::new(now);
    for item in 0..1000 {
        now += Duration::from_millis(5);
        holder.request(item, holder::Patience::until(now), now);
    }

    let demand = holder.report(now).demand_per_second;

    assert!((190.0..=210.0).contains(&demand), "{demand}");
}

// Guards against a share that is used after its lease because the clock did not
// advance while the VM was suspended.
#[test]
fn lease_goes_on_while_the_vm_is_suspended() {
    let now = Instant::now();
    let mut holder = granted(100.0, 10.0, 10.0, now);

    holder.suspend(Duration::from_secs(2), now);
    let still_leased = holder.is_leased(now);
    holder.suspend(Duration::from_secs(1), now);

    assert!(still_leased);
    assert!(!holder.is_leased(now));
    assert!(matches!(
        holder.request(1, holder::Patience::until(now), now),
        decision::Decision::Refuse(_)
    ));
}
