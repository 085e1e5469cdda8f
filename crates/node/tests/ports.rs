//! Answers of the ports of a node to invalid input and to operators.

mod common;

use std::io::{Read, Write};
use std::time::Duration;

use common::{client, fleet, target};
use masticarch_kernel::runtime;
use masticarch_wire::{handshake, socket};
use rstest::rstest;

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";

// Guards against garbage on the peer port that affects more than its own connection.
#[rstest]
#[case::http(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n".to_vec())]
#[case::zeros(vec![0; 4096])]
#[case::magic_only(b"MAST".to_vec())]
#[case::wrong_protocol([b"MAST\xff\x02".to_vec(), vec![b'a'; 200]].concat())]
fn garbage_closes_only_its_connection(#[case] bytes: Vec<u8>) {
    let (node, _) = fleet::node_with_target(target::answering(OK));
    let mut stream = client::connect(node.peer);

    let _ = stream.write_all(&bytes);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);

    assert!(answer.is_empty(), "{answer:?}");
    let next = client::exchange(node.caller, &client::get("/guiones", ""));
    assert!(next.ends_with("hello"), "{next}");
}

// Guards against a peer port that accepts another secret, name or role.
#[rstest]
#[case::other_secret(handshake::Role::Peer, "fleet", "other", false)]
#[case::other_name(handshake::Role::Peer, "other", "secret", false)]
#[case::other_role(handshake::Role::Member, "fleet", "secret", false)]
#[case::member(handshake::Role::Peer, "fleet", "secret", true)]
fn peer_port_demands_proof(
    #[case] role: handshake::Role,
    #[case] name: &str,
    #[case] secret: &str,
    #[case] accepted: bool,
) {
    let node = fleet::node("uno", fleet::control());
    fleet::wait_for(|| std::net::TcpStream::connect(node.peer).is_ok());
    let credential = handshake::Credential::new(name.into(), secret);

    let outcome = runtime::run(async {
        let mut stream = socket::connect(node.peer).await.unwrap();
        handshake::connect(&mut stream, role, &credential).await
    });

    assert_eq!(outcome.unwrap().is_ok(), accepted);
}

// Guards against a refusal whose headers or body do not tell a caller its code, or
// whether the request ran.
#[rstest]
#[case::no_route(&b"GET /none HTTP/1.1\r\nconnection: close\r\n\r\n"[..], 404, 1004, "no")]
#[case::bad_context(
    b"GET /guiones HTTP/1.1\r\nmasticarch-context: 0\r\nconnection: close\r\n\r\n",
    400,
    1018,
    "no"
)]
#[case::dot_segment(
    b"GET /guiones/%2E./alertas HTTP/1.1\r\nconnection: close\r\n\r\n",
    400,
    1101,
    "no"
)]
#[case::large_body(
    b"POST /guiones HTTP/1.1\r\ncontent-length: 1001\r\n\r\n",
    413,
    1103,
    "no"
)]
#[case::conflicting(
    b"POST / HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
    400,
    1106,
    "no"
)]
#[case::empty_id(
    b"GET /guiones HTTP/1.1\r\nmasticarch-request-id:\r\nconnection: close\r\n\r\n",
    400,
    1101,
    "no"
)]
fn refusal_says_why(
    #[case] request: &[u8],
    #[case] status: u16,
    #[case] code: u16,
    #[case] ran: &str,
) {
    let (node, _) = fleet::node_with_target(target::answering(OK));

    let answer = client::exchange(node.caller, request);

    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    assert!(
        answer.contains(&format!("masticarch-code: {code}\r\n")),
        "{answer}"
    );
    assert!(
        answer.contains(&format!("masticarch-ran: {ran}\r\n")),
        "{answer}"
    );
    let body = answer.split("\r\n\r\n").nth(1).unwrap();
    let body: serde_json::Value = serde_json::from_str(body).unwrap();
    assert_eq!(body["code"], code);
    assert_eq!(body["ran"], ran);
}

// Guards against an admin port that lacks one of its paths.
#[rstest]
#[case::health("/health", 200, "ok")]
#[case::ready("/ready", 200, "ready")]
#[case::metrics("/metrics", 200, "masticarch_queue_seconds_count")]
#[case::status("/status", 200, "\"service\":\"service\"")]
#[case::unknown("/none", 404, "no such path")]
fn admin_port_answers(#[case] path: &str, #[case] status: u16, #[case] text: &str) {
    let (node, _) = fleet::node_with_target(target::answering(OK));

    let answer = client::exchange(node.admin, &client::get(path, ""));

    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status} ")),
        "{answer}"
    );
    assert!(answer.contains(text), "{answer}");
}

// Guards against accepting an announcement that is malformed, or under which no request
// could run.
#[rstest]
#[case::no_slots(
    r#"{"address":"127.0.0.1:1","slots":0,"connections":1,"state":"serving"}"#,
    2004
)]
#[case::no_json("slots", 1101)]
#[case::unknown_field(
    r#"{"address":"127.0.0.1:1","slots":1,"connections":1,"state":"serving","x":1}"#,
    1101
)]
fn bad_announcement_is_refused(#[case] body: &str, #[case] code: u16) {
    let node = fleet::node("uno", fleet::control());
    fleet::wait_for(|| std::net::TcpStream::connect(node.admin).is_ok());
    let length = body.len();
    let request = format!(
        "PUT /targets/a HTTP/1.1\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
    );

    let answer = client::exchange(node.admin, request.as_bytes());

    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    assert!(
        answer.contains(&format!("masticarch-code: {code}\r\n")),
        "{answer}"
    );
    std::thread::sleep(Duration::from_millis(50));
}
