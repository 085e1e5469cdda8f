//! Withdrawn keys are refused, and so are all keys at nodes that cannot know whether
//! a key was withdrawn.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use masticarch_kernel::runtime;
use masticarch_load::fleet::{self, objects};
use masticarch_load::http::connection;
use masticarch_load::proxy;
use masticarch_testsuite::{caller, group, setup};
use masticarch_wire::header;
use rstest::rstest;

/// Longest time from the acknowledgement of a withdrawal to the last request that is
/// served with the key.
const MAX_WITHDRAWAL_DELAY: Duration = Duration::from_secs(4);
/// Age of its copy of the configuration from which a node refuses keyed requests.
const MAX_COPY_AGE: Duration = Duration::from_secs(5);
/// Allowance for a busy machine.
const TIMING_SLACK: Duration = Duration::from_secs(1);
/// Time between the requests of a steady caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

struct Fixture {
    fleet: fleet::Fleet,
    key: String,
}

/// Three control processes and two nodes, with a keyed and an open route to the
/// target beside the first node.
async fn fixture(seed: u64) -> Fixture {
    println!("seed {seed}");
    let mut objects = objects::Objects::new(seed, &["normal"]);
    let key = objects.team("arica", 1_000.0, 1_000);
    objects.route("guiones", "normal", &["arica"]);
    let open = objects.route("guiones", "normal", &[]);
    open.name = masticarch_model::name::Name::new("open");
    open.path = "/open".into();
    let target = fleet::spec::Target::builder().service("guiones").build();
    let spec = fleet::Spec::builder()
        .controls(3)
        .nodes(vec![setup::node_with(target), setup::bare_node()])
        .proxies(true)
        .seed(seed)
        .build();
    let fleet = setup::fleet(&spec, objects).await;
    let fixture = Fixture { fleet, key };
    fixture.wait_served().await;
    fixture
}

impl Fixture {
    fn node(&self) -> SocketAddr {
        self.fleet.callers()[0]
    }

    /// Sends a request with the key.
    async fn post_keyed(&self) -> Response<Bytes> {
        let caller = caller::Caller::with_key(&self.key);
        caller.post(self.node(), "/guiones", "script").await
    }

    /// Waits until a request with the key is served, that is, until the node has a
    /// lease on part of the team's rate.
    async fn wait_served(&self) {
        let started = Instant::now();
        while !self.post_keyed().await.status().is_success() {
            assert!(
                started.elapsed() < group::RECOVERY_TIMEOUT,
                "no request is served"
            );
            monoio::time::sleep(REQUEST_INTERVAL).await;
        }
    }

    /// Sends keyed requests for `span` and returns the refusals.
    async fn refusals(&self, span: Duration) -> Vec<caller::Refusal> {
        let end = Instant::now() + span;
        let mut refusals = Vec::new();
        while Instant::now() < end {
            let answer = self.post_keyed().await;
            if !answer.status().is_success() {
                refusals.push(caller::refusal(&answer));
            }
            monoio::time::sleep(REQUEST_INTERVAL).await;
        }
        refusals
    }

    fn request(&self) -> Request<Bytes> {
        Request::post("/guiones")
            .header(http::header::HOST, "masticarch")
            .header(header::KEY, &self.key)
            .body(Bytes::from_static(b"script"))
            .unwrap()
    }
}

// Guards against a withdrawn key that still works on connections which were opened
// before the withdrawal.
#[rstest]
#[case(401)]
#[case(402)]
fn open_connection_with_a_withdrawn_key_is_refused(#[case] seed: u64) {
    let (refused_after, refusal) = runtime::run(async {
        let fixture = fixture(seed).await;
        let mut open = connection::Connection::open(fixture.node()).await.unwrap();
        let before = open.exchange(fixture.request()).await.unwrap();
        assert_eq!(before.status(), StatusCode::OK);

        fixture.fleet.operator.withdraw_key("arica").await.unwrap();
        let acknowledged = Instant::now();
        loop {
            let answer = open.exchange(fixture.request()).await.unwrap();
            if !answer.status().is_success() {
                break (acknowledged.elapsed(), caller::refusal(&answer));
            }
            assert!(acknowledged.elapsed() < group::RECOVERY_TIMEOUT);
        }
    })
    .unwrap();

    println!("refused {refused_after:?} after the acknowledgement");
    assert!(refused_after < MAX_WITHDRAWAL_DELAY, "{refused_after:?}");
    assert_eq!(refusal.reason, "key_withdrawn");
    assert_eq!(refusal.ran, "no");
}

// Guards against a partitioned node that serves keys which may have been withdrawn,
// and against refusals on open routes, which need no key.
#[test]
fn node_cut_off_from_control_refuses_keys_and_serves_open_routes() {
    let (last_served, refusal, open) = runtime::run(async {
        let fixture = fixture(411).await;
        let stall = proxy::Fault {
            stall: true,
            ..proxy::Fault::default()
        };

        let cut = Instant::now();
        for control in &fixture.fleet.controls {
            // The proxies between members are stalled too, because redirects to the
            // leader name the addresses of those proxies.
            control.fault(stall).await.unwrap();
        }
        let mut last_served = Duration::ZERO;
        while cut.elapsed() < MAX_COPY_AGE + 2 * TIMING_SLACK {
            if fixture.post_keyed().await.status().is_success() {
                last_served = cut.elapsed();
            }
            monoio::time::sleep(REQUEST_INTERVAL).await;
        }
        let refusal = caller::refusal(&fixture.post_keyed().await);
        let anonymous = caller::Caller::anonymous();
        let open = anonymous.post(fixture.node(), "/open", "script").await;
        (last_served, refusal, open.status())
    })
    .unwrap();

    println!("last served {last_served:?} after the cut");
    assert!(last_served < MAX_COPY_AGE + TIMING_SLACK, "{last_served:?}");
    assert_eq!(refusal.reason, "not_current");
    assert_eq!(refusal.ran, "no");
    assert_eq!(open, StatusCode::OK);
}

// Guards against refusals of keyed requests while the group elects a leader or has
// lost a process.
#[rstest]
#[case::leader_killed(421, 0)]
#[case::follower_killed(422, 1)]
fn loss_of_a_control_process_refuses_no_keyed_request(#[case] seed: u64, #[case] offset: usize) {
    let refusals = runtime::run(async {
        let mut fixture = fixture(seed).await;
        let victim = (fixture.fleet.leader().await.unwrap() + offset) % 3;

        fixture.fleet.controls[victim].process.kill().unwrap();
        fixture.refusals(MAX_COPY_AGE + 2 * TIMING_SLACK).await
    })
    .unwrap();

    let not_current = |refusal: &&caller::Refusal| refusal.reason == "not_current";
    println!("{} refusals of any kind", refusals.len());
    assert_eq!(
        refusals.iter().filter(not_current).count(),
        0,
        "{refusals:?}"
    );
}
