//! Requests that a node takes while it stops.

mod common;

use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use common::{client, fleet, target};

/// Time for which the node takes new requests once it is asked to stop.
const LINGER: Duration = Duration::from_millis(500);
/// Limit on the drain, in which the time for the news to spread is not counted.
const DRAIN_LIMIT: Duration = Duration::from_millis(700);
/// Time after which the node waits no longer for requests in flight.
const DRAINED: Duration = Duration::from_millis(1200);
/// Time at which requests in flight get their final answers.
const CUTOFF: Duration = Duration::from_millis(1600);
/// Time by which the node has ended.
const END: Duration = Duration::from_millis(1900);

/// A node that can be stopped, and another one beside a target that never answers in time.
fn pair() -> (fleet::Node, fleet::Node, target::Target) {
    let control = fleet::control();
    let near = fleet::node_that_stops("near", control, LINGER, DRAIN_LIMIT);
    let far = fleet::node("far", control);
    let target = target::start(target::Script {
        delay: Duration::from_secs(10),
        ..target::answering("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello")
    });
    far.announce(&target, 8);
    near.wait_for_target();
    (near, far, target)
}

/// The time that a request had left when the target received it.
fn remaining(target: &target::Target) -> Duration {
    let heads = target.received();
    let value = heads
        .lines()
        .find_map(|line| line.strip_prefix("masticarch-deadline-ms: "));
    Duration::from_millis(value.unwrap().parse().unwrap())
}

// Guards against requests that are taken late in a stop, passed on with more time than the
// node has left, and cut without an answer at its end.
#[test]
fn request_taken_during_a_stop_ends_before_the_node() {
    let (mut node, _far, target) = pair();
    let caller = node.caller;

    node.stop();
    let begun = Instant::now();
    thread::sleep(LINGER.mul_f64(0.7));
    let late = thread::spawn(move || client::exchange(caller, &client::get("/alertas", "")));
    fleet::wait_for(|| target.requests.load(Ordering::SeqCst) == 1);
    let left = CUTOFF.saturating_sub(begun.elapsed());
    let answer = late.join().unwrap();
    let ended = begun.elapsed();
    assert!(answer.contains("masticarch-ran: unknown"), "{answer:?}");
    assert!(ended < END, "{ended:?}");
    let remaining = remaining(&target);
    assert!(
        remaining <= left + Duration::from_millis(50),
        "{remaining:?}, {left:?} left"
    );
    node.join();
}

// Guards against a request that has been running since before the stop and whose connection
// closes at the end of the node without an answer.
#[test]
fn request_in_flight_at_the_end_of_a_stop_is_answered() {
    let (mut node, _far, target) = pair();
    let caller = node.caller;
    let running = thread::spawn(move || client::exchange(caller, &client::get("/alertas", "")));
    fleet::wait_for(|| target.requests.load(Ordering::SeqCst) == 1);

    node.stop();
    let begun = Instant::now();
    let answer = running.join().unwrap();
    let ended = begun.elapsed();
    assert!(answer.contains("masticarch-ran: unknown"), "{answer:?}");
    assert!(ended > DRAINED && ended < END, "{ended:?}");
    node.join();
}
