//! The same load on the targets of one service, from few and from many entry nodes.

use std::time::{Duration, Instant};

use fastrand::Rng;
use masticarch_policy::outlier::{breaker, detector};
use masticarch_policy::route::{load, locality, pool};
use rstest::rstest;

const TARGETS: usize = 20;
const REQUESTS_PER_SECOND: u32 = 200;
const TIME: Duration = Duration::from_secs(30);
const PATIENCE: Duration = Duration::from_secs(1);
/// Time for which an entry node leaves out a target whose node has refused a request.
const RECHECK: Duration = Duration::from_millis(500);
const MAX_ATTEMPTS: usize = 4;
/// The target that fails.
const FAILING: usize = 0;

/// What an entry node knows of a target.
#[derive(Clone, Copy, Debug, Default)]
struct Endpoint {
    detector: detector::Detector,
    failing_until: Option<Instant>,
}

/// Numbers of requests that ran, by target, and that failed.
#[derive(Debug, Default)]
struct Counts {
    by_target: [f64; TARGETS],
    failed: f64,
    made: f64,
}

struct Fleet {
    now: Instant,
    rng: Rng,
    pool: pool::Pool<usize>,
    entries: Vec<[Endpoint; TARGETS]>,
    breakers: Vec<breaker::Breaker>,
    /// Share of the requests to [`FAILING`] that fail.
    failing_ratio: f64,
    counts: Counts,
}

fn fleet(nodes: usize, failing_ratio: f64) -> Fleet {
    let now = Instant::now();
    let mut pool = pool::Pool::default();
    for target in 0..TARGETS {
        pool.add(target, locality::Locality::Domain);
    }
    Fleet {
        now,
        rng: Rng::with_seed(7),
        pool,
        entries: vec![[Endpoint::default(); TARGETS]; nodes],
        breakers: vec![breaker::Breaker::new(now); TARGETS],
        failing_ratio,
        counts: Counts::default(),
    }
}

impl Fleet {
    /// Plays the load; each request enters at a random node.
    fn run(mut self) -> Counts {
        let end = self.now + TIME;
        while self.now < end {
            self.now += Duration::from_secs(1) / REQUESTS_PER_SECOND;
            let entry = self.rng.usize(..self.entries.len());
            self.counts.made += 1.0;
            self.request(entry);
        }
        self.counts
    }

    /// Sends a request to one target after the other while their nodes refuse it.
    fn request(&mut self, entry: usize) {
        let mut tried = Vec::new();
        for _ in 0..MAX_ATTEMPTS {
            let sound = self.choose(entry, &tried, false);
            let chosen = sound.or_else(|| self.choose(entry, &tried, true));
            let Some(target) = chosen else { break };
            tried.push(target);
            let now = self.now;
            if sound.is_some() && !self.breakers[target].admits(PATIENCE, now) {
                self.entries[entry][target].failing_until = Some(now + RECHECK);
                continue;
            }
            return self.execute(entry, target);
        }
        self.counts.failed += 1.0;
    }

    fn choose(&mut self, entry: usize, tried: &[usize], insists: bool) -> Option<usize> {
        let (now, endpoints) = (self.now, &self.entries[entry]);
        let usable = |target: usize| {
            let endpoint = &endpoints[target];
            let failing = endpoint.failing_until.is_some_and(|until| now < until);
            let sound = insists || !failing;
            sound && !tried.contains(&target) && !endpoint.detector.is_ejected(now)
        };
        let load = |_| load::Load {
            locality: locality::Locality::Domain,
            in_flight: 0,
            limit: 10,
            latency: Duration::from_millis(50),
            shedding: false,
        };
        self.pool.choose(&mut self.rng, usable, load)
    }

    fn execute(&mut self, entry: usize, target: usize) {
        let now = self.now;
        self.counts.by_target[target] += 1.0;
        let fails = target == FAILING && self.rng.f64() < self.failing_ratio;
        self.breakers[target].record_start(now);
        let detector = &mut self.entries[entry][target].detector;
        if fails {
            self.counts.failed += 1.0;
            self.breakers[target].record_end(breaker::Outcome::Failure, now);
            if detector.record_failure(now) {
                detector.eject(now);
            }
        } else {
            self.breakers[target].record_end(breaker::Outcome::Success, now);
            detector.record_success(now);
        }
    }
}

// Guards against a failing target that keeps its share of the requests where no node sees
// enough of them to notice.
#[rstest]
#[case::fails_all(1.0, 0.002)]
#[case::fails_half(0.5, 0.005)]
fn failing_target_gets_no_more_requests_from_more_nodes(
    #[case] failing_ratio: f64,
    #[case] most_failed: f64,
    #[values(10, 100, 1000)] nodes: usize,
) {
    let counts = fleet(nodes, failing_ratio).run();

    let failed = counts.failed / counts.made;
    assert!(failed <= most_failed, "{failed}");
}

// Guards against load that concentrates on some targets where each node sees few requests.
#[rstest]
fn load_is_spread_from_any_number_of_nodes(#[values(10, 100, 1000)] nodes: usize) {
    let counts = fleet(nodes, 0.0).run();

    let busiest = counts.by_target.iter().copied().fold(0.0, f64::max);
    let mean = counts.made / 20.0;
    assert!(busiest <= 1.2 * mean, "{busiest} {mean}");
}
