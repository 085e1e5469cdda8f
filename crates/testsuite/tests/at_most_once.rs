//! A non-idempotent request runs at most once, whichever process fails and through
//! whichever node the request is resent.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Response, StatusCode};
use masticarch_kernel::{runtime, task};
use masticarch_load::experiment::action::{Action, Process};
use masticarch_load::fleet::{self, objects};
use masticarch_model::code;
use masticarch_testsuite::caller::{self, Caller};
use masticarch_testsuite::setup;
use masticarch_wire::header;
use rstest::rstest;

const SEED: u64 = 71;
const PATH: &str = "/correcciones";
const BODY: &str = "Arica, not Africa";
/// Longest wait for a request to run or a claim to be settled. The claims of a lost
/// node are settled when its membership has expired (3 s).
const SETTLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Time before a resend.
const BACKOFF: Duration = Duration::from_millis(100);

struct Fixture {
    fleet: fleet::Fleet,
    caller: Caller,
}

/// Three control processes, two entry nodes without a target, and two nodes with
/// a target that takes `milliseconds` for each request.
async fn fixture(milliseconds: f64) -> Fixture {
    let mut objects = objects::Objects::new(SEED, &["normal"]);
    let key = objects.team("arica", 1_000.0, 1_000);
    objects
        .route("correcciones", "normal", &["arica"])
        .idempotent = false;
    let target = setup::target("correcciones", milliseconds);
    let nodes = vec![
        setup::bare_node(),
        setup::bare_node(),
        setup::node_with(target.clone()),
        setup::node_with(target),
    ];
    let spec = fleet::Spec::builder().controls(3).nodes(nodes).build();
    Fixture {
        fleet: setup::fleet(&spec, objects).await,
        caller: Caller::with_key(&key),
    }
}

impl Fixture {
    /// Sends the test's request, whose idempotency key is fixed, through an entry
    /// node; `None` when no complete answer arrives.
    async fn send(&self, entry: usize) -> Option<Response<Bytes>> {
        let headers = [(header::IDEMPOTENCY_KEY, "correction-1")];
        let node = self.fleet.callers()[entry];
        self.caller.send(node, PATH, BODY, &headers).await.ok()
    }

    /// Sends the request without waiting for the answer, and waits until it runs.
    async fn start_running(&self, entry: usize) {
        let headers = [(header::IDEMPOTENCY_KEY, "correction-1")];
        let node = self.fleet.callers()[entry];
        let caller = self.caller.clone();
        let name = masticarch_kernel::name::Name::new("first");
        drop(task::spawn(name, async move {
            let _ = caller.send(node, PATH, BODY, &headers).await;
        }));
        let started = Instant::now();
        while self.executions().await.iter().sum::<u64>() == 0 {
            assert!(
                started.elapsed() < SETTLE_TIMEOUT,
                "the request does not run"
            );
            monoio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Resends the request through the second entry node until the answer is final.
    async fn resend(&self) -> Response<Bytes> {
        let started = Instant::now();
        loop {
            let answer = self.send(1).await.expect("the second entry node runs");
            let refusal = caller::refusal(&answer);
            let retriable = refusal.ran == "no"
                || refusal.code == code::Code::StillRunning.number().to_string();
            if !retriable || started.elapsed() > SETTLE_TIMEOUT {
                return answer;
            }
            monoio::time::sleep(BACKOFF).await;
        }
    }

    /// Number of executions at each target.
    async fn executions(&self) -> Vec<u64> {
        let mut totals = Vec::new();
        for target in self
            .fleet
            .nodes
            .iter()
            .filter_map(|node| node.target.as_ref())
        {
            totals.push(target.executions().await.unwrap().total);
        }
        totals
    }

    /// Index of the node whose target ran the request.
    async fn executing_node(&self) -> usize {
        let executions = self.executions().await;
        2 + executions.iter().position(|total| *total > 0).unwrap()
    }

    async fn kill(&mut self, victim: Victim) {
        let process = match victim {
            Victim::Nobody => return,
            Victim::EntryNode => Process::Node(0),
            Victim::TargetNode => Process::Node(self.executing_node().await),
            Victim::Leader => Process::Leader,
        };
        Action::Kill(process).apply(&mut self.fleet).await.unwrap();
    }
}

/// The process that is killed between the request and its resend.
#[derive(Clone, Copy, Debug)]
enum Victim {
    Nobody,
    EntryNode,
    TargetNode,
    Leader,
}

// Guards against a resend that runs the request again, or gets another answer,
// because the process that held the claim or the answer of the first attempt was
// killed.
#[rstest]
#[case::nobody(Victim::Nobody)]
#[case::entry_node(Victim::EntryNode)]
#[case::target_node(Victim::TargetNode)]
#[case::leader(Victim::Leader)]
fn resend_gets_the_first_answer(#[case] victim: Victim) {
    let (first, resent, executions) = runtime::run(async {
        let mut fixture = fixture(20.0).await;

        let first = fixture.send(0).await.expect("the first answer is complete");
        // The entry node settles the claim after it has answered.
        monoio::time::sleep(Duration::from_millis(300)).await;
        fixture.kill(victim).await;
        let resent = fixture.resend().await;
        (first, resent, fixture.executions().await)
    })
    .unwrap();

    assert_eq!(first.status(), StatusCode::OK);
    assert_eq!(resent.status(), StatusCode::OK, "{resent:?}");
    assert_eq!(resent.body(), first.body());
    assert_eq!(executions.iter().sum::<u64>(), 1);
}

// Guards against a resend that runs a request again although the request was
// running when a process on its path was killed, and against "not run" for a
// request that ran.
#[rstest]
#[case::entry_node(Victim::EntryNode, Some(code::Code::OutcomeUnknown))]
#[case::target_node(Victim::TargetNode, Some(code::Code::OutcomeUnknown))]
#[case::leader(Victim::Leader, None)]
fn request_caught_running_is_not_run_again(
    #[case] victim: Victim,
    #[case] refusal: Option<code::Code>,
) {
    let (resent, executions) = runtime::run(async {
        let mut fixture = fixture(800.0).await;

        fixture.start_running(0).await;
        fixture.kill(victim).await;
        let resent = fixture.resend().await;
        (resent, fixture.executions().await)
    })
    .unwrap();

    let expected = refusal.map_or(StatusCode::OK.as_u16(), code::Code::status);
    assert_eq!(resent.status().as_u16(), expected, "{resent:?}");
    let code = refusal.map_or_else(String::new, |code| code.number().to_string());
    assert_eq!(caller::refusal(&resent).code, code);
    assert_eq!(executions.iter().sum::<u64>(), 1);
}
