//! Connections between nodes that go silent.

mod common;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use common::{client, fleet, proxy, target};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";

/// Two nodes, of which the second has a target and is reached through a proxy.
fn pair_behind_proxy() -> (fleet::Node, fleet::Node, proxy::Proxy) {
    let (near, far, proxy, _) = pair_with(target::answering(OK));
    (near, far, proxy)
}

fn pair_with(script: target::Script) -> (fleet::Node, fleet::Node, proxy::Proxy, target::Target) {
    let control = fleet::control();
    let near = fleet::node("near", control);
    let advertised = fleet::address();
    let far = fleet::node_at("far", control, Some(advertised));
    let proxy = proxy::start(advertised, far.peer);
    let target = target::start(script);
    far.announce(&target, 8);
    near.wait_for_target();
    (near, far, proxy, target)
}

// Guards against requests that keep using connections which have gone silent while new
// connections work, and against a non-idempotent request on such a connection that is
// run again or reported as not run.
#[test]
fn silent_connections_are_given_up() {
    let (near, _far, proxy) = pair_behind_proxy();
    let request = client::get("/guiones", "");
    let before = client::exchange(near.caller, &request);
    assert!(before.ends_with("hello"), "{before}");
    // After this time the probe has an open connection too, so it must detect the silence
    // on that one by itself.
    std::thread::sleep(Duration::from_millis(300));

    proxy.silence();
    let begun = Instant::now();
    let lost = client::exchange(near.caller, &client::get("/alertas", ""));
    let noticed = begun.elapsed();
    let after = client::exchange(near.caller, &request);

    assert!(noticed < Duration::from_millis(1500), "{noticed:?}: {lost}");
    assert!(lost.contains("masticarch-ran: unknown"), "{lost}");
    assert!(after.ends_with("hello"), "{after}");
}

// Guards against a node that keeps and probes connections to every node that it has
// ever sent a request to, and so to the whole fleet.
#[test]
fn connections_to_a_node_out_of_use_are_closed() {
    let (near, _far, proxy) = pair_behind_proxy();
    let answer = client::exchange(near.caller, &client::get("/guiones", ""));
    let used = proxy.is_in_use();

    let begun = Instant::now();
    while proxy.is_in_use() && begun.elapsed() < Duration::from_secs(8) {
        std::thread::sleep(Duration::from_millis(100));
    }

    assert!(answer.ends_with("hello"), "{answer}");
    assert!(used);
    assert!(!proxy.is_in_use());
}

// Guards against a non-idempotent request that is given up, and its work cancelled, because
// the node beside its target is silent for a while.
#[test]
fn request_outlasts_a_silence_of_its_targets_node() {
    let (near, _far, proxy, target) = pair_with(target::Script {
        delay: Duration::from_millis(300),
        ..target::answering(OK)
    });
    client::exchange(near.caller, &client::get("/guiones", ""));
    let caller = near.caller;

    let waiting =
        std::thread::spawn(move || client::exchange(caller, &client::get("/alertas", "")));
    std::thread::sleep(Duration::from_millis(100));
    proxy.freeze(Duration::from_millis(1300));
    let answer = waiting.join().unwrap();

    assert!(answer.ends_with("hello"), "{answer}");
    assert_eq!(target.requests.load(Ordering::SeqCst), 2);
    assert_eq!(target.closed.load(Ordering::SeqCst), 0);
}

// Guards against a probe whose own idle connection is reset and that then ends the
// requests on all other connections, among them some that must not be sent again.
#[test]
fn reset_of_the_probed_connection_ends_no_request() {
    let (near, _far, proxy, target) = pair_with(target::Script {
        delay: Duration::from_millis(1500),
        ..target::answering(OK)
    });
    let caller = near.caller;
    let paths = ["/guiones", "/alertas"];

    let waiting = paths
        .map(|path| std::thread::spawn(move || client::exchange(caller, &client::get(path, ""))));
    while !proxy.has_probe() {
        std::thread::sleep(Duration::from_millis(10));
    }
    proxy.close_probed();
    let answers = waiting.map(|waiting| waiting.join().unwrap());

    assert!(
        answers.iter().all(|answer| answer.ends_with("hello")),
        "{answers:?}"
    );
    assert_eq!(target.requests.load(Ordering::SeqCst), 2);
    assert_eq!(target.closed.load(Ordering::SeqCst), 0);
}
