//! Withdrawn keys stop working, and nodes that cannot tell refuse keyed requests.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use masticarch_kernel::runtime;
use masticarch_load::fleet::{self, objects};
use masticarch_load::http::connection;
use masticarch_load::proxy;
use masticarch_testsuite::{arranged, caller, group};
use masticarch_wire::header;
use rstest::rstest;

/// Time from acknowledgement to the last request served with the key.
const IN_FORCE: Duration = Duration::from_secs(4);
/// Age of its copy at which a node refuses keyed requests.
const CURRENT: Duration = Duration::from_secs(5);
/// What a busy machine may add.
const SLACK: Duration = Duration::from_secs(1);
/// Time between the requests of a steady caller.
const PAUSE: Duration = Duration::from_millis(20);

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
        .nodes(vec![arranged::node_with(target), arranged::bare_node()])
        .proxies(true)
        .seed(seed)
        .build();
    let fleet = arranged::arrange(&spec, objects).await;
    let fixture = Fixture { fleet, key };
    fixture.served().await;
    fixture
}

impl Fixture {
    fn node(&self) -> SocketAddr {
        self.fleet.callers()[0]
    }

    async fn keyed(&self) -> Response<Bytes> {
        let caller = caller::Caller::with_key(&self.key);
        caller.post(self.node(), "/guiones", "script").await
    }

    /// Waits until the team has a share of its rate at the node.
    async fn served(&self) {
        let started = Instant::now();
        while !self.keyed().await.status().is_success() {
            assert!(started.elapsed() < group::REPAIR, "no request is served");
            monoio::time::sleep(PAUSE).await;
        }
    }

    /// Sends keyed requests for a time and returns the refusals.
    async fn refusals(&self, span: Duration) -> Vec<caller::Refusal> {
        let end = Instant::now() + span;
        let mut refusals = Vec::new();
        while Instant::now() < end {
            let answer = self.keyed().await;
            if !answer.status().is_success() {
                refusals.push(caller::refusal(&answer));
            }
            monoio::time::sleep(PAUSE).await;
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

// Guards against connections that go on working with a key that was withdrawn
// after they were opened.
#[rstest]
#[case(401)]
#[case(402)]
fn open_connection_with_a_withdrawn_key_is_refused(#[case] seed: u64) {
    let (late, refusal) = runtime::run(async {
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
            assert!(acknowledged.elapsed() < group::REPAIR);
        }
    })
    .unwrap();

    println!("refused {late:?} after the acknowledgement");
    assert!(late < IN_FORCE, "{late:?}");
    assert_eq!(refusal.reason, "key_withdrawn");
    assert_eq!(refusal.ran, "no");
}

// Guards against a node that serves keys of which it cannot know whether they
// were withdrawn, and against open routes that fail with it.
#[test]
fn node_cut_off_from_control_refuses_keys_and_serves_open_routes() {
    let (lasted, refusal, open) = runtime::run(async {
        let fixture = fixture(411).await;
        let stall = proxy::Fault {
            stall: true,
            ..proxy::Fault::default()
        };

        let cut = Instant::now();
        for control in &fixture.fleet.controls {
            // Redirects to the leader lead through the links between members.
            control.fault(stall).await.unwrap();
        }
        let mut lasted = Duration::ZERO;
        while cut.elapsed() < CURRENT + 2 * SLACK {
            if fixture.keyed().await.status().is_success() {
                lasted = cut.elapsed();
            }
            monoio::time::sleep(PAUSE).await;
        }
        let refusal = caller::refusal(&fixture.keyed().await);
        let anonymous = caller::Caller::anonymous();
        let open = anonymous.post(fixture.node(), "/open", "script").await;
        (lasted, refusal, open.status())
    })
    .unwrap();

    println!("last served {lasted:?} after the cut");
    assert!(lasted < CURRENT + SLACK, "{lasted:?}");
    assert_eq!(refusal.reason, "not_current");
    assert_eq!(refusal.ran, "no");
    assert_eq!(open, StatusCode::OK);
}

// Guards against refusals of keyed requests while the group changes its leader
// or has lost a process.
#[rstest]
#[case::leader_killed(421, 0)]
#[case::follower_killed(422, 1)]
fn loss_of_a_control_process_refuses_no_keyed_request(#[case] seed: u64, #[case] offset: usize) {
    let refusals = runtime::run(async {
        let mut fixture = fixture(seed).await;
        let victim = (fixture.fleet.leader().await.unwrap() + offset) % 3;

        fixture.fleet.controls[victim].process.kill().unwrap();
        fixture.refusals(CURRENT + 2 * SLACK).await
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
