//! Callers get the complete answer to their own request, or a refusal.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Response;
use masticarch_kernel::runtime;
use masticarch_load::fleet::{self, objects};
use masticarch_model::code;
use masticarch_testsuite::caller::{self, Caller};
use masticarch_testsuite::raw_target::{RawTarget, Script};
use masticarch_testsuite::setup;
use rstest::rstest;

const SEED: u64 = 91;
/// One byte more than the largest answer that is forwarded.
const OVERSIZED_BYTES: usize = (4 << 20) + 1;

struct Fixture {
    fleet: fleet::Fleet,
    caller: Caller,
    _target: RawTarget,
}

/// An entry node and a node with a target that follows a script. The route has no
/// retries, so that every answer comes from one exchange.
async fn fixture(script: &Script) -> Fixture {
    let mut objects = objects::Objects::new(SEED, &["normal"]);
    let key = objects.team("arica", 1_000.0, 1_000);
    objects.route("guiones", "normal", &["arica"]).retries = 0;
    let nodes = vec![setup::bare_node(), setup::bare_node()];
    let spec = fleet::Spec::builder().nodes(nodes).build();
    let fleet = setup::fleet(&spec, objects).await;
    let target = RawTarget::start(&fleet.nodes[1], script);
    target.announce(&fleet.nodes[1], "guiones");
    Fixture {
        fleet,
        caller: Caller::with_key(&key),
        _target: target,
    }
}

impl Fixture {
    /// Sends a request, and resends it as long as the entry node does not know the
    /// target.
    async fn get(&self) -> Response<Bytes> {
        let node = self.fleet.callers()[0];
        let started = Instant::now();
        loop {
            let answer = self.caller.post(node, "/guiones", "").await;
            let unknown =
                caller::refusal(&answer).code == code::Code::NoTarget.number().to_string();
            if !unknown || started.elapsed() > setup::CONVERGENCE_TIMEOUT {
                return answer;
            }
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

fn whole(text: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}",
        text.len()
    )
}

fn oversized() -> Bytes {
    let mut answer =
        format!("HTTP/1.1 200 OK\r\ncontent-length: {OVERSIZED_BYTES}\r\n\r\n").into_bytes();
    answer.resize(answer.len() + OVERSIZED_BYTES, b'.');
    answer.into()
}

fn truncated(head: &str, body: &str) -> Bytes {
    format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{body}").into()
}

// Guards against an incomplete answer that is forwarded as a complete one, and
// against "not run" for a request that the target received.
#[rstest]
#[case::shorter_than_its_length(
    truncated("content-length: 10", "half"),
    code::Code::AnswerTruncated
)]
#[case::without_its_last_chunk(
    truncated("transfer-encoding: chunked", "4\r\nhalf\r\n"),
    code::Code::AnswerTruncated
)]
#[case::within_a_chunk(
    truncated("transfer-encoding: chunked", "8\r\nhalf"),
    code::Code::AnswerTruncated
)]
#[case::above_the_limit(oversized(), code::Code::AnswerTooLarge)]
#[case::nothing(Bytes::new(), code::Code::TargetFailed)]
fn part_of_an_answer_is_refused(#[case] answer: Bytes, #[case] expected: code::Code) {
    let refusal = runtime::run(async {
        let fixture = fixture(&Script::SendAndClose(answer)).await;

        caller::refusal(&fixture.get().await)
    })
    .unwrap();

    assert_eq!(refusal.code, expected.number().to_string(), "{refusal:?}");
    assert_eq!(refusal.status, expected.status());
    assert_ne!(refusal.ran, "no");
}

// Guards against bytes that a target sent after an answer and that are taken for the
// answer to the next request on the same connection.
#[test]
fn surplus_answer_goes_to_no_other_request() {
    let bodies = runtime::run(async {
        let surplus = whole("own") + &whole("of another request");
        let fixture = fixture(&Script::Send(surplus.into())).await;

        let mut bodies = Vec::new();
        for _ in 0..5 {
            bodies.push(fixture.get().await.into_body());
        }
        bodies
    })
    .unwrap();

    assert!(
        bodies.iter().all(|body| body != "of another request"),
        "{bodies:?}"
    );
    assert!(bodies.iter().any(|body| body == "own"), "{bodies:?}");
}
