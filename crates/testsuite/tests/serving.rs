//! Requests are served through any node, and refusals state their reason.

use bytes::Bytes;
use http::{Response, StatusCode};
use masticarch_kernel::runtime;
use masticarch_load::fleet::{self, objects};
use masticarch_load::standin::distribution;
use masticarch_model::code;
use masticarch_testsuite::caller::{self, Caller};
use masticarch_testsuite::setup;
use rstest::rstest;

const SEED: u64 = 11;
/// Well-formed key that belongs to no team.
const UNKNOWN_KEY: &str =
    "mk_0000000000000001_0000000000000000000000000000000000000000000000000000000000000001";

/// Keys of the two teams of the fixture.
struct Keys {
    arica: String,
    iquique: String,
}

struct Fixture {
    fleet: fleet::Fleet,
    keys: Keys,
}

/// Two nodes; the second has the only target, for guiones.
fn spec() -> fleet::Spec {
    let target = fleet::spec::Target::builder()
        .service("guiones")
        .service_ms(distribution::Distribution::Fixed(1.0))
        .build();
    fleet::Spec::builder()
        .nodes(vec![setup::bare_node(), setup::node_with(target)])
        .build()
}

async fn fixture() -> Fixture {
    let mut objects = objects::Objects::new(SEED, &["urgent", "normal"]);
    let keys = Keys {
        arica: objects.team("arica", 1_000.0, 1_000),
        iquique: objects.team("iquique", 0.1, 1),
    };
    objects.route("guiones", "normal", &["arica", "iquique"]);
    objects.route("correcciones", "normal", &["iquique"]);
    objects.route("parrilla", "normal", &["arica"]);
    Fixture {
        fleet: setup::fleet(&spec(), objects).await,
        keys,
    }
}

impl Fixture {
    async fn post(&self, caller: &Caller, path: &str) -> Response<Bytes> {
        let node = self.fleet.callers()[0];
        caller.post(node, path, "script").await
    }
}

fn expected(code: code::Code) -> caller::Refusal {
    caller::Refusal {
        status: code.status(),
        code: code.number().to_string(),
        reason: code.reason().into(),
        ran: code.ran().to_string(),
    }
}

fn run<F: Future>(test: F) -> F::Output {
    runtime::run(test).unwrap()
}

// Guards against a target that can be reached only through its own node.
#[rstest]
#[case::through_the_other_node(0)]
#[case::through_its_own_node(1)]
fn request_is_served_through_either_node(#[case] entry: usize) {
    let answer = run(async {
        let fixture = fixture().await;
        let caller = Caller::with_key(&fixture.keys.arica);
        let node = fixture.fleet.callers()[entry];

        caller.post(node, "/guiones", "script").await
    });

    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(answer.body().as_ref(), b"script");
}

// Guards against callers' keys that are forwarded to a target.
#[test]
fn target_never_sees_the_key() {
    let executions = run(async {
        let fixture = fixture().await;
        let caller = Caller::with_key(&fixture.keys.arica);

        for node in fixture.fleet.callers() {
            caller.post(node, "/guiones", "script").await;
        }
        let target = fixture.fleet.nodes[1].target.as_ref().unwrap();
        target.executions().await.unwrap()
    });

    assert_eq!(executions.total, 2);
    assert_eq!(executions.keys_seen, 0);
}

// Guards against refusals with a wrong code, and against refused requests that
// run.
#[test]
fn each_refusal_has_its_code() {
    let (refusals, executions) = run(async {
        let fixture = fixture().await;
        let arica = Caller::with_key(&fixture.keys.arica);

        let answers = [
            fixture.post(&Caller::anonymous(), "/guiones").await,
            fixture
                .post(&Caller::with_key(UNKNOWN_KEY), "/guiones")
                .await,
            fixture.post(&arica, "/correcciones").await,
            fixture.post(&arica, "/nowhere").await,
            fixture.post(&arica, "/parrilla").await,
        ];
        let target = fixture.fleet.nodes[1].target.as_ref().unwrap();
        let executions = target.executions().await.unwrap();
        (answers.map(|answer| caller::refusal(&answer)), executions)
    });

    let codes = [
        code::Code::NoKey,
        code::Code::UnknownKey,
        code::Code::WrongTeam,
        code::Code::NoRoute,
        code::Code::NoTarget,
    ];
    assert_eq!(refusals, codes.map(expected));
    assert_eq!(executions.total, 0);
}

// Guards against a team that gets more than its burst, and against refused requests
// that run.
#[test]
fn request_above_the_burst_is_refused_as_over_rate() {
    let (refusals, executions) = run(async {
        let fixture = fixture().await;
        let iquique = Caller::with_key(&fixture.keys.iquique);

        let mut refusals = Vec::new();
        for _ in 0..3 {
            let answer = fixture.post(&iquique, "/guiones").await;
            if answer.status() != StatusCode::OK {
                refusals.push(caller::refusal(&answer));
            }
        }
        let target = fixture.fleet.nodes[1].target.as_ref().unwrap();
        (refusals, target.executions().await.unwrap())
    });

    assert!(refusals.len() >= 2, "{refusals:?}");
    assert!(
        refusals
            .iter()
            .all(|refusal| *refusal == expected(code::Code::OverRate)),
        "{refusals:?}"
    );
    assert_eq!(executions.total, 3 - refusals.len() as u64);
}

// Guards against a withdrawn key that still works after the change is in force.
#[test]
fn withdrawn_key_is_refused() {
    let refusal = run(async {
        let fixture = fixture().await;
        let arica = Caller::with_key(&fixture.keys.arica);
        let operator = &fixture.fleet.operator;

        let version = operator.withdraw_key("arica").await.unwrap();
        let names = fixture.fleet.node_names();
        let in_force = operator.wait_applied(version, &names, setup::CONVERGENCE_TIMEOUT);
        in_force.await.unwrap();
        caller::refusal(&fixture.post(&arica, "/guiones").await)
    });

    assert_eq!(refusal, expected(code::Code::KeyWithdrawn));
}
