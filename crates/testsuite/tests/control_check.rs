//! Tests of the checks that other tests apply to recorded changes.

use masticarch_model::{configuration, limit, name, version};
use masticarch_testsuite::{check, operation, watch};
use masticarch_wire::message::operator;
use rstest::rstest;

fn entry(id: u128, number: u64) -> operator::Entry {
    operator::Entry {
        version: version::Version(number),
        id,
        operator: name::Name::new("tester"),
        summary: Vec::new(),
    }
}

fn operation(id: u128, expected: u64, outcome: operation::Outcome) -> operation::Operation {
    operation::Operation {
        id,
        expected: version::Version(expected),
        outcome,
    }
}

fn report(history: Vec<operator::Entry>) -> check::Report {
    let limits = history.iter().map(|entry| limit::Limit {
        name: operation::limit_name(entry.id),
        rate_per_second: 1.0,
        burst: 1,
    });
    let configuration = configuration::Configuration {
        limits: limits.collect(),
        ..configuration::Configuration::default()
    };
    check::Report {
        history,
        configuration,
    }
}

const fn accepted(number: u64) -> operation::Outcome {
    operation::Outcome::Accepted(version::Version(number))
}

const CONFLICT: operation::Outcome = operation::Outcome::Conflict(version::Version(5));

// Guards against a check that misses a violation, or reports one in a correct
// history.
#[rstest]
#[case::right(vec![entry(2, 7), entry(1, 5)], operation(2, 5, accepted(7)), 0)]
#[case::unknown_and_absent(vec![entry(1, 5)], operation(2, 5, operation::Outcome::Unknown), 0)]
#[case::unknown_and_applied(vec![entry(2, 7), entry(1, 5)], operation(2, 5, operation::Outcome::Unknown), 0)]
#[case::lost(vec![entry(1, 5)], operation(2, 5, accepted(7)), 1)]
#[case::other_version(vec![entry(2, 8), entry(1, 5)], operation(2, 5, accepted(7)), 1)]
#[case::twice(vec![entry(2, 7), entry(2, 6), entry(1, 5)], operation(1, 4, accepted(5)), 1)]
#[case::refused_but_applied(vec![entry(2, 7), entry(1, 5)], operation(2, 5, CONFLICT), 1)]
#[case::stale_expectation(vec![entry(2, 7), entry(1, 5)], operation(2, 4, accepted(7)), 1)]
#[case::order(vec![entry(2, 5), entry(1, 5)], operation(1, 4, accepted(5)), 1)]
fn checker_sees_each_fault(
    #[case] history: Vec<operator::Entry>,
    #[case] operation: operation::Operation,
    #[case] expected: usize,
) {
    let violations = check::changes(&[operation], &report(history));

    assert_eq!(violations.len(), expected, "{violations:?}");
}

// Guards against a check that misses a version that decreases at a node.
#[rstest]
#[case::forward(&[3, 3, 4], 0)]
#[case::back(&[3, 4, 3], 1)]
fn checker_sees_a_version_that_goes_back(#[case] versions: &[u64], #[case] expected: usize) {
    let observe = |version: &u64| watch::Observation {
        node: ([127, 0, 0, 1], 1).into(),
        incarnation: "a".into(),
        version: *version,
        configuration_version: 1,
    };
    let observations: Vec<_> = versions.iter().map(observe).collect();

    assert_eq!(check::versions(&observations).len(), expected);
}
