//! Retry budget of one service.

use masticarch_policy::retry_budget;
use rstest::rstest;

const LIMITS: retry_budget::Limits = retry_budget::Limits {
    ratio: 0.2,
    slack: 47.0,
};

/// Retries allowed to `nodes` nodes that each send `requests` requests and try to
/// retry every one.
fn retries(nodes: u32, requests: u32) -> u32 {
    let mut total = 0;
    for _ in 0..nodes {
        let mut budget = retry_budget::Budget::new(LIMITS, nodes);
        for _ in 0..requests {
            budget.deposit();
            total += u32::from(budget.try_withdraw());
        }
    }
    total
}

// Guards against retries beyond the limits of a service, also if every call of a
// chain is retried and the retries add up.
#[rstest]
#[case::few_nodes(4, 1000, 4)]
#[case::today(24, 250, 4)]
#[case::many_nodes(91, 30, 4)]
#[case::nearly_idle(91, 2, 4)]
fn repeats_of_a_chain_stay_within_the_bound(
    #[case] nodes: u32,
    #[case] requests: u32,
    #[case] depth: u32,
) {
    let total = f64::from(depth * retries(nodes, requests));

    let bound = LIMITS.ratio * f64::from(nodes * requests) + LIMITS.slack;
    assert!(total <= bound, "{total} of {bound}");
}

// Guards against a balance that grows without bound.
#[test]
fn savings_are_bounded_by_the_part_of_the_slack() {
    let mut budget = retry_budget::Budget::new(LIMITS, 4);
    for _ in 0..10_000 {
        budget.deposit();
    }

    let saved = (0..100).filter(|_| budget.try_withdraw()).count();

    assert_eq!(saved, 5);
}

// Guards against a budget that starts at 0 with each change of the fleet.
#[test]
fn savings_are_kept_when_nodes_come_and_go() {
    let mut before = retry_budget::Budget::new(LIMITS, 4);
    for _ in 0..100 {
        before.deposit();
    }

    let mut after = retry_budget::Budget::new(LIMITS, 30).with_balance_of(&before);

    assert!(after.try_withdraw());
    assert!(!after.try_withdraw());
}
