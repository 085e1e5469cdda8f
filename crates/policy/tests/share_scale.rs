//! One team's requests that enter at many nodes, each of which sees few of them.

use std::time::{Duration, Instant};

use fastrand::Rng;
use masticarch_model::{incarnation, name};
use masticarch_policy::share::{Share, decision, holder, lease, owner};
use rstest::rstest;

const STEP: Duration = Duration::from_millis(10);
/// Most requests in one step.
const SLICES: u32 = 4;
/// Time between a report and the grant in answer to it.
const ROUND_TRIP: Duration = Duration::from_millis(60);
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time that a request waits for a token.
const MAX_WAIT: Duration = Duration::from_millis(200);
const LIMIT: lease::Share = lease::Share {
    rate: 13.0,
    burst: 13.0,
};
/// A limit whose burst is small compared with its rate.
const SMALL_BURST: lease::Share = lease::Share {
    rate: 100.0,
    burst: 30.0,
};

/// A node, with the time and the answer of its outstanding report.
struct Node {
    holder: holder::Holder<()>,
    reported: Instant,
    outstanding: Option<(Instant, lease::Grant)>,
}

/// Requests that were made, and those that were refused.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    made: f64,
    refused: f64,
}

impl Counts {
    fn refused_ratio(&self) -> f64 {
        self.refused / self.made.max(1.0)
    }
}

struct Fleet {
    now: Instant,
    rng: Rng,
    owner: owner::Owner,
    nodes: Vec<Node>,
    counts: Counts,
}

fn team() -> name::Name {
    "arica".into()
}

/// A fleet whose owner has held the limit for some time, without requests.
fn fleet(nodes: usize, whole: lease::Share, seed: u64) -> Fleet {
    let now = Instant::now();
    let mut owner = owner::Owner::first(now);
    let whole = lease::Limit {
        team: team(),
        whole,
    };
    owner.set_limits(now, &[whole]);
    let node = || Node {
        holder: holder::Holder::new(now),
        reported: now,
        outstanding: None,
    };
    Fleet {
        now: now + Duration::from_secs(10),
        rng: Rng::with_seed(seed),
        owner,
        nodes: std::iter::repeat_with(node).take(nodes).collect(),
        counts: Counts::default(),
    }
}

impl Fleet {
    /// Runs for a time, with this many requests each second, each at a random node.
    fn run(&mut self, time: Duration, per_second: f64) -> Counts {
        self.counts = Counts::default();
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            for _ in 0..SLICES {
                if self.rng.f64() < per_second * STEP.as_secs_f64() / f64::from(SLICES) {
                    self.request();
                }
            }
            for index in 0..self.nodes.len() {
                self.exchange(index);
                self.serve(index);
            }
        }
        self.counts
    }

    fn request(&mut self) {
        let index = self.rng.usize(..self.nodes.len());
        self.counts.made += 1.0;
        let holder = &mut self.nodes[index].holder;
        let decision = holder.request((), holder::Patience::until(self.now + MAX_WAIT), self.now);
        self.count(&decision);
    }

    fn serve(&mut self, index: usize) {
        let now = self.now;
        while let Some(wake) = self.nodes[index].holder.next_wake()
            && wake <= now
        {
            let decision = self.nodes[index].holder.next(now);
            self.count(&decision);
            if matches!(decision, decision::Decision::Wait) {
                return;
            }
        }
    }

    fn count(&mut self, decision: &decision::Decision<()>) {
        if matches!(decision, decision::Decision::Refuse(())) {
            self.counts.refused += 1.0;
        }
    }

    /// Applies the answer to the outstanding report of a node, or sends the next report.
    fn exchange(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if let Some((sent, grant)) = node
            .outstanding
            .take_if(|(sent, _)| now >= *sent + ROUND_TRIP)
        {
            let share = Share {
                rate_per_second: grant.share.rate,
                burst: grant.share.burst,
            };
            node.holder.grant(share, grant.tokens, sent, now);
            node.holder.draw(grant.drawn, sent, now);
        }
        let urgent = node.holder.urgent_from(now).is_some_and(|from| from <= now);
        let age = now.saturating_duration_since(node.reported);
        let is_due = age >= holder::REPORT_INTERVAL || urgent && age >= MIN_REPORT_INTERVAL;
        if node.outstanding.is_some() || !is_due || !node.holder.is_due(now) {
            return;
        }
        node.reported = now;
        let report = node.holder.report(now);
        let request = lease::Request {
            node: incarnation::Incarnation(u64::try_from(index).unwrap()),
            connection: 1,
            reports: vec![lease::Report {
                team: team(),
                held: lease::Share {
                    rate: report.held.rate_per_second,
                    burst: report.held.burst,
                },
                released: report.released,
                demand: report.demand_per_second,
                wanted: report.wanted,
            }],
        };
        let grants = self.owner.renew(now, &request).unwrap();
        let grant = grants.into_iter().next().unwrap();
        self.nodes[index].outstanding = Some((now, grant));
    }
}

// Guards against a limit that is leased to the first few nodes, so that requests within the
// rate are refused at all others.
#[rstest]
fn team_within_its_rate_is_served_from_the_first_second(#[values(10, 100, 1000)] nodes: usize) {
    let seeds = 0..20;
    let mut refused = 0.0;
    let mut made = 0.0;

    for seed in seeds {
        let counts = fleet(nodes, LIMIT, seed).run(Duration::from_secs(4), 0.6 * LIMIT.rate);

        refused += counts.refused;
        made += counts.made;
    }

    let ratio = Counts { made, refused }.refused_ratio();
    assert!(ratio <= 0.01, "{refused} of {made}");
}

// Guards against requests of a nearly idle team that are refused because its tokens lie at
// nodes that it does not use.
#[rstest]
fn nearly_idle_team_is_served(#[values(10, 100, 1000)] nodes: usize) {
    let counts = fleet(nodes, LIMIT, 1).run(Duration::from_mins(1), 0.1 * LIMIT.rate);

    assert!(counts.refused_ratio() <= 0.001, "{counts:?}");
}

// Guards against a team that can use only a part of its rate, because tokens on their way to
// the nodes count towards a small burst.
#[rstest]
fn small_burst_leaves_the_rate_usable(#[values(10, 100, 1000)] nodes: usize) {
    let counts = fleet(nodes, SMALL_BURST, 1).run(Duration::from_secs(20), 0.7 * SMALL_BURST.rate);

    assert!(counts.refused_ratio() <= 0.05, "{counts:?}");
}
