//! Owner of team limits, in a simulated fleet and by itself.

mod share_fleet;

use std::time::{Duration, Instant};

use masticarch_model::incarnation;
use masticarch_policy::share::{lease, owner};
use proptest::prelude::*;
use rstest::rstest;

use share_fleet::{Faults, Fleet, STEP};

/// Time for the leases of earlier owners to end and the first shares to be granted.
const WARM_UP: Duration = Duration::from_secs(8);
/// Relative tolerance for rounding errors in sums of shares and tokens.
const TOLERANCE: f64 = 1e-6;

fn limit(rate: f64, burst: f64) -> lease::Share {
    lease::Share { rate, burst }
}

fn every_fault() -> Faults {
    Faults {
        lost: 0.1,
        late: 0.1,
        frozen: 0.001,
        owner_change: 0.001,
        limit_change: 0.003,
        demand_change: 0.01,
    }
}

/// A fleet past its warm-up, with this demand at each holder.
fn warm_fleet(seed: u64, limit: lease::Share, demand: &[f64]) -> Fleet {
    let holders = u64::try_from(demand.len()).expect("few holders");
    let mut fleet = Fleet::new(seed, holders, limit, Faults::default());
    set_demand(&mut fleet, demand);
    fleet.run(WARM_UP);
    fleet
}

fn set_demand(fleet: &mut Fleet, demand: &[f64]) {
    for (holder, demand) in fleet.holders.iter_mut().zip(demand) {
        holder.demand = *demand;
    }
}

/// Requests per second that each holder serves while the fleet runs for `time`.
fn measure(fleet: &mut Fleet, time: Duration) -> Vec<f64> {
    let before: Vec<f64> = fleet.holders.iter().map(|holder| holder.served).collect();
    fleet.run(time);
    let served = fleet.holders.iter().zip(before);
    served
        .map(|(holder, before)| (holder.served - before) / time.as_secs_f64())
        .collect()
}

/// Runs a fleet with every fault for 40 s, and checks in each step that the shares in
/// use and the served requests stay within the limit.
fn check_limit(seed: u64, holders: u64, whole: lease::Share) -> Result<(), TestCaseError> {
    let mut fleet = Fleet::new(seed, holders, whole, every_fault());
    let mut tokens = whole.burst;
    for _ in 0..4_000 {
        let served = fleet.step();

        // A lowered limit is in force one lease after the change, or one lease
        // after a change of owner that happens within that time.
        let (used, permitted) = (fleet.used(), fleet.permitted());
        prop_assert!(
            used.rate <= permitted.rate * (1.0 + TOLERANCE),
            "{used:?} {permitted:?}"
        );
        prop_assert!(
            used.burst <= permitted.burst * (1.0 + TOLERANCE),
            "{used:?} {permitted:?}"
        );
        // A token bucket of the whole limit never falls below 0 if and only if
        // no window exceeds rate × t + burst.
        tokens = (tokens + permitted.rate * STEP.as_secs_f64()).min(permitted.burst) - served;
        prop_assert!(
            tokens >= -permitted.burst.max(permitted.rate) * TOLERANCE,
            "{tokens}"
        );
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against shares that add up to more than the limit, and against
    // more requests than rate × t + burst in any window, under every fault.
    #[test]
    fn fleet_never_exceeds_the_limit(
        seed in any::<u64>(),
        holders in 1_u64..8,
        rate in 1.0..10_000.0_f64,
        burst in 1.0..10_000.0_f64,
    ) {
        check_limit(seed, holders, limit(rate, burst))?;
    }

    // Guards against a team whose traffic moves to one node and gets only a
    // fixed fraction of its rate there.
    #[test]
    fn one_skewed_node_reaches_the_rate_within_two_seconds(
        seed in any::<u64>(),
        rate in 20.0..10_000.0_f64,
        burst_seconds in 0.1..2.0_f64,
    ) {
        // A smaller burst than the rate of a few simulated steps would be
        // used up by the length of the step.
        let burst = (rate * burst_seconds).max(20.0);
        let mut fleet = warm_fleet(seed, limit(rate, burst), &[rate / 6.0; 6]);
        set_demand(&mut fleet, &[rate * 3.0, 0.0, 0.0, 0.0, 0.0, 0.0]);
        fleet.run(Duration::from_secs(2));

        let served = measure(&mut fleet, Duration::from_secs(3));

        prop_assert!(served[0] >= 0.95 * rate, "{} of {rate}", served[0]);
    }

    // Guards against refusals within the rate: every node gets its demand if
    // the sum is below the limit, however it is distributed.
    #[test]
    fn shares_follow_demand(
        seed in any::<u64>(),
        weights in proptest::collection::vec(0.01..1.0_f64, 6),
    ) {
        let rate = 1_000.0;
        let sum: f64 = weights.iter().sum();
        let demand: Vec<f64> = weights.iter().map(|weight| 0.9 * rate * weight / sum).collect();
        let mut fleet = warm_fleet(seed, limit(rate, 1_000.0), &demand);

        let served = measure(&mut fleet, Duration::from_secs(5));

        for (served, demand) in served.iter().zip(&demand) {
            prop_assert!(*served >= 0.999 * demand, "{served} of {demand}");
        }
    }

    // Guards against one node that takes the rate of the others when the
    // demand of each exceeds its share.
    #[test]
    fn rate_is_divided_evenly_when_all_want_more(seed in any::<u64>()) {
        let rate = 600.0;
        let mut fleet = warm_fleet(seed, limit(rate, 600.0), &[rate, rate, rate, 2.0 * rate]);

        let served = measure(&mut fleet, Duration::from_secs(5));

        let total: f64 = served.iter().sum();
        prop_assert!(total >= 0.95 * rate, "{served:?}");
        for served in &served {
            prop_assert!(*served >= 0.9 * rate / 4.0, "{served}");
        }
    }
}

// Guards against refusals at every node when the owner changes under steady
// traffic.
#[test]
fn steady_traffic_does_not_notice_a_new_owner() {
    let rate = 1_000.0;
    let demand = [0.2 * rate; 4];
    let mut fleet = warm_fleet(7, limit(rate, 1_000.0), &demand);
    fleet.replace_owner();

    let served = measure(&mut fleet, Duration::from_secs(8));

    for served in served {
        assert!(served >= 0.999 * demand[0], "{served} of {}", demand[0]);
    }
}

// Guards against shares above a lowered limit that are renewed for longer than a
// lease while demand changes. The property test finds this fault in only one of
// about 2,500 cases; this is such a case.
#[test]
fn lowered_limit_is_met_within_a_lease() {
    let outcome = check_limit(13_106_118_468_231_882_454, 5, limit(1.0, 1.0));

    assert!(outcome.is_ok(), "{outcome:?}");
}

// Guards against a team that is refused for a whole lease after all processes were
// restarted, although no node can hold an earlier share any more.
#[test]
fn owner_that_has_heard_all_holders_grants_at_once() {
    let now = Instant::now();
    let (first, second) = (incarnation::Incarnation(1), incarnation::Incarnation(2));
    let gone = incarnation::Incarnation(3);
    let mut owner = owner::Owner::awaiting(now, [first, second, gone].into_iter().collect());
    owner.set_limits(now, &[whole(limit(100.0, 100.0))]);

    let early = owner.renew(now, &request_without_share(first)).unwrap();
    owner.ended(gone);
    let all_heard = owner.renew(now, &request_without_share(second)).unwrap();

    assert_eq!(early, vec![]);
    assert!(all_heard[0].share.rate > 0.0);
}

// Guards against a share that is granted twice because the holder of an earlier
// one has not reported.
#[test]
fn owner_waits_for_a_holder_that_joined_before_its_term() {
    let now = Instant::now();
    let (first, late) = (incarnation::Incarnation(1), incarnation::Incarnation(2));
    let mut owner = owner::Owner::awaiting(now, [first].into_iter().collect());
    owner.set_limits(now, &[whole(limit(100.0, 100.0))]);
    owner.joined(late);

    let before = owner.renew(now, &request_without_share(first)).unwrap();
    let over = now + lease::OWNER_DURATION;
    let after = owner.renew(over, &request_without_share(first)).unwrap();

    assert_eq!(before, vec![]);
    assert!(after[0].share.rate > 0.0);
}

// Guards against a fleet that is refused for a whole lease after a restart because
// a node that has just joined stops before it reports.
#[test]
fn owner_waits_for_no_holder_that_joined_in_its_term() {
    let now = Instant::now();
    let (first, new) = (incarnation::Incarnation(1), incarnation::Incarnation(2));
    let mut owner = owner::Owner::awaiting(now, [first].into_iter().collect());
    owner.set_limits(now, &[whole(limit(100.0, 100.0))]);

    owner.begin_term();
    owner.joined(new);
    let granted = owner.renew(now, &request_without_share(first)).unwrap();

    assert!(granted[0].share.rate > 0.0);
}

// Guards against a holder that is removed while it has a share, of which a later
// owner would not know.
#[test]
fn holder_is_released_once_its_share_is_over() {
    let now = Instant::now();
    let holder = incarnation::Incarnation(1);
    let mut owner = owner::Owner::first(now);
    owner.set_limits(now, &[whole(limit(100.0, 100.0))]);
    owner.renew(now, &request_without_share(holder)).unwrap();

    let early = owner.release(now + lease::DURATION, vec![holder]);
    let late = owner.release(now + lease::OWNER_DURATION, vec![holder]);

    assert_eq!(early, vec![]);
    assert_eq!(late, vec![holder]);
}

// Guards against a new owner that releases a holder which may have a share of the
// previous owner.
#[test]
fn new_owner_releases_no_holder_that_it_has_not_heard() {
    let now = Instant::now();
    let (heard, silent) = (incarnation::Incarnation(1), incarnation::Incarnation(2));
    let mut owner = owner::Owner::awaiting(now, [heard, silent].into_iter().collect());
    owner.set_limits(now, &[whole(limit(100.0, 100.0))]);
    owner.renew(now, &request_without_share(heard)).unwrap();

    let released = owner.release(now, vec![heard, silent]);

    assert_eq!(released, vec![heard]);
}

// Guards against a share that is granted between the release of a holder and its
// removal.
#[test]
fn released_holder_gets_nothing_until_it_joins_again() {
    let now = Instant::now();
    let holder = incarnation::Incarnation(1);
    let mut owner = owner::Owner::first(now);
    owner.set_limits(now, &[whole(limit(100.0, 100.0))]);
    owner.release(now, vec![holder]);

    let before = owner.renew(now, &request_without_share(holder)).unwrap();
    owner.joined(holder);
    let after = owner.renew(now, &request_without_share(holder)).unwrap();

    assert_eq!(before, vec![]);
    assert!(after[0].share.rate > 0.0);
}

fn whole(limit: lease::Share) -> lease::Limit {
    lease::Limit {
        team: share_fleet::team(),
        whole: limit,
    }
}

/// A request with one report, of a holder that has demand and no share.
fn request_without_share(node: incarnation::Incarnation) -> lease::Request {
    lease::Request {
        node,
        connection: 1,
        reports: vec![lease::Report {
            team: share_fleet::team(),
            held: lease::Share::default(),
            released: 0.0,
            demand: 10.0,
            wanted: 0.0,
        }],
    }
}

// Guards against tokens of a lease that is over: the owner has granted them again.
#[rstest]
#[case(
    12_762_597_613_215_587_401,
    2,
    limit(4_968.204_278_621_374, 1_954.789_021_148_102_2)
)]
#[case(
    4_007_648_006_790_544_134,
    2,
    limit(6_814.865_458_975_205, 6_592.495_009_500_066)
)]
#[case(
    7_716_048_449_735_470_395,
    3,
    limit(6_859.765_139_039_511, 3_417.102_680_995_575)
)]
#[case(
    1_347_083_937_291_924_671,
    2,
    limit(9_039.501_557_954_318, 9_783.614_380_261_697)
)]
#[case(
    2_713_077_060_854_194_080,
    3,
    limit(8_181.286_840_592_232, 5_690.753_987_029_582)
)]
#[case(4_021_291_354_979_683_202, 2, limit(1.0, 5_930.095_561_977_063))]
fn limit_holds_on_seeds_that_failed(
    #[case] seed: u64,
    #[case] holders: u64,
    #[case] whole: lease::Share,
) {
    check_limit(seed, holders, whole).unwrap();
}
