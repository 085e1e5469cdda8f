//! Sub-calls: requests that a target sends within a running call.

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use common::{client, fleet, target};

const OK: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nleaf";

/// Counts of events at the target.
#[derive(Default)]
struct Counts {
    sub_calls: AtomicUsize,
    closed: AtomicUsize,
}

/// A target that answers `/guiones/leaf` and never answers `/guiones/stuck`. For any
/// other path it sends a sub-call for the path in the query to its own node, and answers
/// with the answer of the node.
fn start_target(node: SocketAddr) -> (target::Target, Arc<Counts>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let announced = target::Target::at(listener.local_addr().unwrap());
    let counts = Arc::new(Counts::default());
    let shared = counts.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counts = shared.clone();
            thread::spawn(move || while serve(&stream, node, &counts).is_some() {});
        }
    });
    (announced, counts)
}

fn serve(mut stream: &TcpStream, node: SocketAddr, counts: &Counts) -> Option<()> {
    let mut buffer = [0; 4096];
    let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
    let head = String::from_utf8_lossy(&buffer[..count]).into_owned();
    if head.starts_with("GET /guiones/stuck ") {
        counts.sub_calls.fetch_add(1, Ordering::SeqCst);
        let _ = stream.read(&mut buffer);
        counts.closed.fetch_add(1, Ordering::SeqCst);
        return None;
    }
    if head.starts_with("GET /guiones/leaf ") {
        counts.sub_calls.fetch_add(1, Ordering::SeqCst);
        return stream.write_all(OK).ok();
    }
    let path = head.split(['?', ' ']).nth(2).unwrap();
    let context = header_value(&head, "masticarch-context: ");
    let call = client::get(path, &format!("masticarch-context: {context}\r\n"));
    let answer = client::exchange(node, &call);
    let length = answer.len();
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
    stream.write_all((head + &answer).as_bytes()).ok()
}

/// The value of a header, empty if it is absent; `name` includes the colon and the space.
fn header_value<'a>(head: &'a str, name: &str) -> &'a str {
    let found = head.lines().find_map(|line| line.strip_prefix(name));
    found.unwrap_or_default()
}

fn node_with_sub_calls() -> (fleet::Node, Arc<Counts>) {
    let node = fleet::node("uno", fleet::control());
    let (target, counts) = start_target(node.caller);
    node.announce(&target, 8);
    node.wait_for_target();
    (node, counts)
}

// Guards against a sub-call that is refused, or that gets another request id than its
// root request.
#[test]
fn subcall_inherits_from_its_parent() {
    let (node, _) = node_with_sub_calls();
    let id = "masticarch-request-id: root-1\r\n";

    let answer = client::exchange(node.caller, &client::get("/guiones?/guiones/leaf", id));

    assert!(answer.ends_with("leaf"), "{answer}");
    let ids = answer.matches("masticarch-request-id: root-1").count();
    assert_eq!(ids, 2, "{answer}");
}

// Guards against a context that is accepted after its call has ended.
#[test]
fn context_is_unknown_after_its_call() {
    let (node, target) = fleet::node_with_target(target::answering(
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n",
    ));
    client::exchange(node.caller, &client::get("/guiones", ""));
    let heads = target.received();
    let context = header_value(&heads, "masticarch-context: ");
    let call = client::get("/guiones", &format!("masticarch-context: {context}\r\n"));

    let answer = client::exchange(node.caller, &call);

    assert!(!context.is_empty(), "{heads}");
    assert!(answer.contains("masticarch-code: 1018"), "{answer}");
}

// Guards against sub-calls that keep running after the caller of the root request has
// disconnected.
#[test]
fn disconnect_cancels_subcalls() {
    let (node, counts) = node_with_sub_calls();
    let mut stream = client::connect(node.caller);
    stream
        .write_all(&client::get("/guiones?/guiones/stuck", ""))
        .unwrap();
    fleet::wait_for(|| counts.sub_calls.load(Ordering::SeqCst) == 1);
    let begun = Instant::now();

    drop(stream);

    fleet::wait_for(|| counts.closed.load(Ordering::SeqCst) == 1);
    assert!(begun.elapsed() < Duration::from_secs(1));
}
