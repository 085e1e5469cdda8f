//! Sub-calls that a target makes to other services while it serves a request.

use std::time::Duration;

use http::StatusCode;
use masticarch_kernel::runtime;
use masticarch_load::fleet::{self, objects};
use masticarch_load::standin::{calls, distribution};
use masticarch_testsuite::caller::Caller;
use masticarch_testsuite::setup;
use rstest::rstest;

const SEED: u64 = 41;

/// A target for orders, which calls the given paths, and a target for editions,
/// whose route is not idempotent.
async fn fleet(paths: &[&str]) -> (fleet::Fleet, Caller) {
    let mut objects = objects::Objects::new(SEED, &["normal"]);
    let key = objects.team("collectors", 100.0, 100);
    objects.route("orders", "normal", &["collectors"]);
    objects
        .route("editions", "normal", &["collectors"])
        .idempotent = false;
    let plan = calls::Plan {
        paths: paths.iter().map(|path| (*path).to_owned()).collect(),
        ..calls::Plan::default()
    };
    let orders = fleet::spec::Target::builder()
        .service("orders")
        .calls(plan)
        .build();
    let editions = fleet::spec::Target::builder()
        .service("editions")
        .service_ms(distribution::Distribution::Fixed(1.0))
        .build();
    let nodes = vec![setup::node_with(orders), setup::node_with(editions)];
    let spec = fleet::Spec::builder().nodes(nodes).build();
    let fleet = setup::fleet(&spec, objects).await;
    // Time for every node to learn of both targets.
    monoio::time::sleep(Duration::from_millis(500)).await;
    (fleet, Caller::with_key(&key))
}

// Guards against two different sub-calls of one request of which the second is
// treated as a resend of the first, and against a repeated sub-call that runs twice.
#[rstest]
#[case::different_calls_both_run(&["/editions?piece=1", "/editions?piece=2"], 2)]
#[case::same_call_runs_once(&["/editions?piece=1", "/editions?piece=1"], 1)]
fn non_idempotent_sub_calls_of_one_request(#[case] paths: &[&str], #[case] executions: u64) {
    let (answer, record) = runtime::run(async {
        let (fleet, caller) = fleet(paths).await;

        let answer = caller.post(fleet.callers()[0], "/orders", "").await;
        let target = fleet.nodes[1].target.as_ref().unwrap();
        (answer, target.executions().await.unwrap())
    })
    .unwrap();

    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(record.total, executions);
}
