//! Tests of the check of a whole configuration, which reports each fault with its
//! code, object and field.

mod fixture;

use std::time::Duration;

use masticarch_model::{access, check, code, configuration, kind, priority};
use rstest::rstest;

use fixture::configuration;

type Configuration = configuration::Configuration;
type Mutation = fn(&mut Configuration);

// Guards against a faultless configuration that is refused.
#[test]
fn faultless_configuration_has_no_findings() {
    assert_eq!(check::check(&configuration()), Vec::new());
}

// Guards against faults that pass the check, or are reported at another object
// or field than the one at fault.
#[rstest]
#[case::below(|configuration: &mut Configuration| configuration.priorities[1].below = Some("none".into()),
    code::Code::DanglingName, kind::Kind::Priority, "normal", "below")]
#[case::limit(|configuration: &mut Configuration| configuration.teams[0].limit = "none".into(),
    code::Code::DanglingName, kind::Kind::Team, "arica", "limit")]
#[case::team(|configuration: &mut Configuration| configuration.keys[0].team = "none".into(),
    code::Code::DanglingName, kind::Kind::Key, "arica-1", "team")]
#[case::priority(|configuration: &mut Configuration| configuration.routes[0].priority = "none".into(),
    code::Code::DanglingName, kind::Kind::Route, "alertas", "priority")]
#[case::access(|configuration: &mut Configuration| configuration.routes[0].access = access::Access::Teams(vec!["none".into()]),
    code::Code::DanglingName, kind::Kind::Route, "alertas", "access")]
#[case::same_name(|configuration: &mut Configuration| configuration.limits.push(configuration.limits[0].clone()),
    code::Code::DuplicateName, kind::Kind::Limit, "small", "name")]
#[case::same_key_id(|configuration: &mut Configuration| { let mut key = configuration.keys[0].clone(); key.name = "z".into(); configuration.keys.push(key); },
    code::Code::DuplicateName, kind::Kind::Key, "z", "id")]
#[case::same_path(|configuration: &mut Configuration| { let mut route = configuration.routes[0].clone(); route.name = "z".into(); configuration.routes.push(route); },
    code::Code::DuplicateName, kind::Kind::Route, "z", "path")]
#[case::two_highest(|configuration: &mut Configuration| configuration.priorities[1].below = None,
    code::Code::DuplicateName, kind::Kind::Priority, "normal", "below")]
#[case::cycle(|configuration: &mut Configuration| configuration.priorities[0].below = Some("normal".into()),
    code::Code::Cycle, kind::Kind::Priority, "urgent", "below")]
#[case::self_cycle(|configuration: &mut Configuration| configuration.priorities[1].below = Some("normal".into()),
    code::Code::Cycle, kind::Kind::Priority, "normal", "below")]
#[case::rate_low(|configuration: &mut Configuration| configuration.limits[0].rate_per_second = 0.05,
    code::Code::OutOfRange, kind::Kind::Limit, "small", "rate_per_second")]
#[case::rate_not_a_number(|configuration: &mut Configuration| configuration.limits[0].rate_per_second = f64::NAN,
    code::Code::OutOfRange, kind::Kind::Limit, "small", "rate_per_second")]
#[case::burst(|configuration: &mut Configuration| configuration.limits[0].burst = 0,
    code::Code::OutOfRange, kind::Kind::Limit, "small", "burst")]
#[case::weight(|configuration: &mut Configuration| configuration.teams[0].weight = 1_001,
    code::Code::OutOfRange, kind::Kind::Team, "arica", "weight")]
#[case::timeout(|configuration: &mut Configuration| configuration.routes[0].timeout = Duration::from_millis(9),
    code::Code::OutOfRange, kind::Kind::Route, "alertas", "timeout_ms")]
#[case::retries(|configuration: &mut Configuration| configuration.routes[0].retries = 11,
    code::Code::OutOfRange, kind::Kind::Route, "alertas", "retries")]
#[case::relative_path(|configuration: &mut Configuration| configuration.routes[0].path = "alertas".into(),
    code::Code::OutOfRange, kind::Kind::Route, "alertas", "path")]
#[case::parent_path(|configuration: &mut Configuration| configuration.routes[0].path = "/a/../b".into(),
    code::Code::OutOfRange, kind::Kind::Route, "alertas", "path")]
#[case::many_priorities(|configuration: &mut Configuration| configuration.priorities = chain(33),
    code::Code::OutOfRange, kind::Kind::Priority, "p0", "name")]
#[case::capitals(|configuration: &mut Configuration| configuration.limits[0].name = "Small".into(),
    code::Code::BadName, kind::Kind::Limit, "Small", "name")]
#[case::long_name(|configuration: &mut Configuration| configuration.limits[0].name = "a".repeat(64).as_str().into(),
    code::Code::BadName, kind::Kind::Limit, &"a".repeat(64), "name")]
#[case::service(|configuration: &mut Configuration| configuration.routes[0].service = "".into(),
    code::Code::BadName, kind::Kind::Route, "alertas", "service")]
fn fault_is_reported_with_its_object_and_field(
    #[case] mutate: Mutation,
    #[case] code: code::Code,
    #[case] kind: kind::Kind,
    #[case] name: &str,
    #[case] field: &str,
) {
    let mut configuration = configuration();
    mutate(&mut configuration);

    let findings = check::check(&configuration);

    let matches = findings.iter().any(|finding| {
        finding.code == code
            && finding.kind == kind
            && finding.name.as_str() == name
            && &*finding.field == field
            && !finding.detail.is_empty()
    });
    assert!(matches, "{findings:?}");
}

/// Priorities in one chain, the highest first.
fn chain(count: usize) -> Vec<priority::Priority> {
    let name = |index: usize| format!("p{index}").as_str().into();
    let below = |index: usize| index.checked_sub(1).map(name);
    (0..count)
        .map(|index| priority::Priority {
            name: name(index),
            below: below(index),
        })
        .collect()
}

// Guards against a check that stops at the first fault.
#[test]
fn every_fault_is_reported_at_once() {
    let mut configuration = configuration();
    configuration.limits[0].burst = 0;
    configuration.teams[0].weight = 0;
    configuration.routes[0].retries = 11;

    let fields: Vec<_> = check::check(&configuration)
        .into_iter()
        .map(|finding| finding.field)
        .collect();

    assert_eq!(fields, ["burst", "weight", "retries"].map(Box::from));
}
