//! The path of a request from caller to target and back.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use common::{client, fleet, target};
use rstest::rstest;

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";

/// Time after which every node knows of all targets.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// Two nodes, of which the second has a target.
fn pair(script: target::Script) -> (fleet::Node, fleet::Node, target::Target) {
    let control = fleet::control();
    let near = fleet::node("near", control);
    let far = fleet::node("far", control);
    let target = target::start(script);
    far.announce(&target, 8);
    near.wait_for_target();
    (near, far, target)
}

// Guards against a request that does not reach a target beside its node.
#[test]
fn request_reaches_a_local_target() {
    let (node, _) = fleet::node_with_target(target::answering(OK));

    let answer = client::exchange(node.caller, &client::get("/guiones/x", ""));

    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nhello"), "{answer}");
}

// Guards against a request that does not reach a target beside another node,
// on a new connection and on a pooled one.
#[test]
fn requests_reach_a_target_of_another_node() {
    let (near, _far, _) = pair(target::answering(OK));
    let request = client::get("/guiones", "");

    let first = client::exchange(near.caller, &request);
    let second = client::exchange(near.caller, &request);

    for answer in [first, second] {
        assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
        assert!(answer.ends_with("\r\n\r\nhello"), "{answer}");
        assert!(!answer.contains("masticarch-credit"), "{answer}");
    }
}

// Guards against a key, or an internal header forged by a caller, that reaches a target.
#[test]
fn target_sees_no_key_and_no_forged_headers() {
    let (node, target) = fleet::node_with_target(target::answering(OK));
    let headers = "masticarch-key: mk_secret\r\nauthorization: Bearer mk_secret\r\n\
        masticarch-team: forged\r\nmasticarch-credit: 9\r\nx-own: kept\r\n";

    client::exchange(node.caller, &client::get("/guiones", headers));

    let seen = target.received();
    assert!(!seen.contains("mk_secret"), "{seen}");
    assert!(!seen.contains("forged"), "{seen}");
    assert!(!seen.contains("masticarch-credit"), "{seen}");
    assert!(seen.contains("x-own: kept"), "{seen}");
    assert!(seen.contains("masticarch-context: "), "{seen}");
    assert!(seen.contains("masticarch-deadline-ms: "), "{seen}");
}

// Guards against an answer that is passed on although it is not whole, at the
// target's node and at the entry node, and against a connection that is used
// again after it.
#[rstest]
#[case::truncated("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nabc", 1107, "unknown")]
#[case::oversized("HTTP/1.1 200 OK\r\ncontent-length: 2000\r\n\r\n", 1108, "yes")]
#[case::no_http("garbage\r\n\r\n", 1109, "unknown")]
#[case::cut_in_its_head("HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-a", 1109, "unknown")]
#[case::cut_after_a_header("HTTP/1.1 200 OK\r\nx-a: b\r\n", 1109, "unknown")]
fn bad_answer_is_refused(
    #[case] answer: &'static str,
    #[case] code: u16,
    #[case] ran: &str,
    #[values(false, true)] remote: bool,
) {
    let script = target::Script {
        close: true,
        ..target::answering(answer)
    };
    let nodes = if remote {
        pair(script)
    } else {
        let (node, target) = fleet::node_with_target(script);
        let control = fleet::control();
        (node, fleet::node("idle", control), target)
    };

    let answer = client::exchange(nodes.0.caller, &client::get("/guiones", ""));

    assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
    assert!(
        answer.contains(&format!("masticarch-code: {code}")),
        "{answer}"
    );
    assert!(answer.contains(&format!("\"code\":{code},")), "{answer}");
    assert!(
        answer.contains(&format!("masticarch-ran: {ran}")),
        "{answer}"
    );
}

// Guards against a panic on an idle timeout that no clock can represent.
#[test]
fn answer_with_an_endless_idle_timeout_is_passed_on() {
    let answer = "HTTP/1.1 200 OK\r\nkeep-alive: timeout=18446744073709551615\r\n\
        content-length: 5\r\n\r\nhello";
    let (node, _) = fleet::node_with_target(target::answering(answer));
    let request = client::get("/guiones", "");

    let answers = [(); 2].map(|()| client::exchange(node.caller, &request));

    for answer in answers {
        assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    }
}

// Guards against bytes after an answer that are taken for the next answer.
#[test]
fn connection_with_trailing_bytes_is_not_used_again() {
    let doubled = "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\naHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb";
    let (node, target) = fleet::node_with_target(target::answering(doubled));
    let request = client::get("/guiones", "");

    let first = client::exchange(node.caller, &request);
    let second = client::exchange(node.caller, &request);

    assert!(first.ends_with("\r\n\r\na"), "{first}");
    assert!(second.ends_with("\r\n\r\na"), "{second}");
    assert_eq!(target.connections.load(Ordering::SeqCst), 2);
}

// Guards against a request that keeps running after its caller has disconnected, at a
// target beside this node and beside another node.
#[rstest]
fn disconnect_closes_the_connection_to_the_target(#[values(false, true)] remote: bool) {
    let script = target::Script {
        delay: Duration::from_mins(1),
        ..target::answering(OK)
    };
    let (node, _far, target) = if remote {
        pair(script)
    } else {
        let (node, target) = fleet::node_with_target(script);
        let idle = fleet::node("idle", fleet::control());
        (node, idle, target)
    };
    let mut stream = client::connect(node.caller);
    stream.write_all(&client::get("/guiones", "")).unwrap();
    fleet::wait_for(|| target.requests.load(Ordering::SeqCst) == 1);
    let begun = Instant::now();

    drop(stream);

    fleet::wait_for(|| target.closed.load(Ordering::SeqCst) == 1);
    assert!(begun.elapsed() < Duration::from_secs(1));
}

// Guards against a resend of a non-idempotent request that runs again, and
// against another request under the same key.
#[test]
fn resend_gets_the_first_answer() {
    let (node, target) = fleet::node_with_target(target::answering(OK));
    let request = client::get("/alertas", "idempotency-key: k1\r\n");
    let other = client::get("/alertas/other", "idempotency-key: k1\r\n");

    let first = client::exchange(node.caller, &request);
    fleet::wait_for(|| !client::exchange(node.caller, &request).contains("1012"));
    let resend = client::exchange(node.caller, &request);
    let mismatch = client::exchange(node.caller, &other);

    assert!(first.ends_with("hello"), "{first}");
    assert!(resend.starts_with("HTTP/1.1 200 OK"), "{resend}");
    assert!(resend.ends_with("hello"), "{resend}");
    assert!(mismatch.contains("masticarch-code: 1017"), "{mismatch}");
    assert_eq!(target.requests.load(Ordering::SeqCst), 1);
}

// Guards against a claim that is settled as not run although the request may
// have run.
#[test]
fn failed_request_without_answer_stays_unknown() {
    let script = target::Script {
        close: true,
        ..target::answering("")
    };
    let (node, target) = fleet::node_with_target(script);
    let request = client::get("/alertas", "idempotency-key: k2\r\n");

    let first = client::exchange(node.caller, &request);
    fleet::wait_for(|| client::exchange(node.caller, &request).contains("code: 1013"));

    assert!(first.contains("masticarch-ran: unknown"), "{first}");
    assert_eq!(target.requests.load(Ordering::SeqCst), 1);
}

// Guards against a running request that a shutdown cuts off, and against a new one that
// is run or left without an answer.
#[test]
fn shutdown_finishes_what_runs_and_refuses_what_is_new() {
    let script = target::Script {
        delay: Duration::from_millis(1500),
        ..target::answering(OK)
    };
    let (mut node, target) = fleet::node_with_target(script);
    let mut running = client::connect(node.caller);
    let mut open = client::connect(node.caller);
    running.write_all(&client::get("/guiones", "")).unwrap();
    fleet::wait_for(|| target.requests.load(Ordering::SeqCst) == 1);

    node.stop();
    std::thread::sleep(Duration::from_millis(200));
    open.write_all(b"GET /guiones HTTP/1.1\r\n\r\n").unwrap();
    let refused = client::read_all(&mut open);
    let finished = client::read_all(&mut running);
    node.join();

    assert!(finished.ends_with("hello"), "{finished}");
    assert!(refused.contains("masticarch-code: 1009"), "{refused}");
    assert!(refused.contains("masticarch-ran: no"), "{refused}");
    assert!(refused.contains("connection: close"), "{refused}");
    assert_eq!(target.requests.load(Ordering::SeqCst), 1);
}

// Guards against a stop that cuts off a request which is still arriving when the last one
// in flight has ended.
#[test]
fn request_that_arrives_during_a_stop_is_answered() {
    let (mut node, _) = fleet::node_with_target(target::answering(OK));
    let mut late = client::connect(node.caller);

    node.stop();
    std::thread::sleep(Duration::from_millis(600));
    late.write_all(b"GET /guiones HTTP/1.1\r\n").unwrap();
    std::thread::sleep(Duration::from_millis(700));
    let _ = late.write_all(b"host: a\r\n\r\n");
    let answer = client::read_all(&mut late);
    node.join();

    assert!(answer.contains("masticarch-code: 1009"), "{answer}");
    assert!(answer.contains("masticarch-ran: no"), "{answer}");
}

// Guards against a refusal that denies an execution: an attempt ran and failed, and the
// next one was refused as not run.
#[test]
fn refused_retry_does_not_deny_an_earlier_execution() {
    let control = fleet::control();
    let near = fleet::node("near", control);
    let far = fleet::node("far", control);
    let failing = target::start(target::answering(
        "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 4\r\n\r\nfail",
    ));
    near.announce(&failing, 8);
    far.announce(&target::Target::at(fleet::address()), 8);
    near.wait_for_target();

    for _ in 0..10 {
        let before = failing.requests.load(Ordering::SeqCst);
        let answer = client::exchange(near.caller, &client::get("/guiones", ""));
        let executions = failing.requests.load(Ordering::SeqCst) - before;

        let denied = answer.contains("masticarch-ran: no");
        assert!(
            !denied || executions == 0,
            "{executions} executions: {answer}"
        );
    }
}

/// Starts a target that echoes the context of each request in its answer, and sends each
/// answer but the first after a second copy of the one before.
fn repeating_target() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut previous = String::new();
            while let Some(head) = read_head(&mut stream) {
                let path = head.split(' ').nth(1).unwrap();
                let context = head
                    .lines()
                    .find(|line| line.starts_with("masticarch-context"));
                let answer = format!(
                    "HTTP/1.1 200 OK\r\n{}\r\ncontent-length: {}\r\n\r\n{path}",
                    context.unwrap(),
                    path.len()
                );
                let _ = stream.write_all(format!("{previous}{answer}").as_bytes());
                previous = answer;
            }
        }
    });
    address
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

// Guards against a second copy of an answer that arrives when its connection is in use
// again, and reaches the next caller.
#[test]
fn late_second_copy_of_an_answer_reaches_no_other_caller() {
    let node = fleet::node("uno", fleet::control());
    node.announce(&target::Target::at(repeating_target()), 1);
    node.wait_for_target();

    let answers = ["/guiones/1", "/guiones/2", "/guiones/3"]
        .map(|path| client::exchange(node.caller, &client::get(path, "")));

    assert!(answers[0].ends_with("/guiones/1"), "{}", answers[0]);
    assert!(answers[1].ends_with("/guiones/2"), "{}", answers[1]);
    assert!(answers[2].ends_with("/guiones/3"), "{}", answers[2]);
}

// Guards against a target that gets requests after it has stopped renewing its
// announcement.
#[test]
fn silent_target_is_removed() {
    let node = fleet::node("uno", fleet::control());
    let target = target::start(target::answering(OK));
    node.announce_once(&target, 8);
    node.wait_for_target();
    let request = client::get("/guiones", "");
    assert!(client::exchange(node.caller, &request).ends_with("hello"));

    fleet::wait_for(|| client::exchange(node.caller, &request).contains("code: 1007"));
}

// Guards against a request that is reported as possibly run although its target never
// accepted a connection.
#[test]
fn unreachable_target_has_not_run() {
    let node = fleet::node("uno", fleet::control());
    node.announce(&target::Target::at(fleet::address()), 8);
    node.wait_for_target();

    let answer = client::exchange(node.caller, &client::get("/alertas", ""));

    assert!(answer.contains("masticarch-ran: no\r\n"), "{answer}");
}

// Guards against requests that are lost or overtake each other when a caller
// sends them without waiting.
#[test]
fn pipelined_requests_reach_the_target_in_order() {
    let (node, target) = fleet::node_with_target(target::answering(OK));
    let request = |number| format!("GET /guiones/{number} HTTP/1.1\r\nhost: a\r\n\r\n");
    let mut bytes: String = (0..20).map(request).collect();
    bytes.push_str(&String::from_utf8(client::get("/guiones/last", "")).unwrap());

    let answer = client::exchange(node.caller, bytes.as_bytes());

    assert_eq!(answer.matches("HTTP/1.1 200 OK").count(), 21, "{answer}");
    let seen = target.received();
    let paths: Vec<&str> = seen
        .lines()
        .filter_map(|line| line.strip_prefix("GET /guiones/"))
        .map(|rest| rest.trim_end_matches(" HTTP/1.1"))
        .collect();
    let mut expected: Vec<String> = (0..20).map(|number: u32| number.to_string()).collect();
    expected.push("last".to_owned());
    assert_eq!(paths, expected);
}

// Guards against an answer to `HEAD` that is taken for a truncated one.
#[test]
fn head_request_has_no_body() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nx-own: 1\r\n\r\n";
    let (node, _) = fleet::node_with_target(target::answering(answer));
    let request = b"HEAD /guiones HTTP/1.1\r\nconnection: close\r\n\r\n";

    let answer = client::exchange(node.caller, request);

    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(answer.contains("x-own: 1\r\n"), "{answer}");
    assert!(answer.ends_with("\r\n\r\n"), "{answer}");
}

// Guards against a failing target that fails a few requests of each entry node, however many
// nodes there are.
#[test]
fn failing_target_is_noticed_by_its_own_node() {
    const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
    let control = fleet::control();
    let (bad, good) = (fleet::node("bad", control), fleet::node("good", control));
    let failing = target::start(target::answering(ERROR));
    let sound = target::start(target::Script {
        delay: Duration::from_millis(20),
        ..target::answering(OK)
    });
    bad.announce(&failing, 8);
    good.announce(&sound, 8);
    let names = ["a", "b", "c", "d", "e", "f"];
    let entries = names.map(|name| fleet::node(name, control));
    for entry in &entries {
        entry.wait_for_target();
    }
    thread::sleep(SETTLING_TIME);

    let mut answers = Vec::new();
    for _ in 0..12 {
        for entry in &entries {
            answers.push(client::exchange(entry.caller, &client::get("/guiones", "")));
        }
    }

    let failed = failing.requests.load(Ordering::SeqCst);
    assert!(failed <= 9, "{failed}");
    for answer in answers {
        assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    }
}
