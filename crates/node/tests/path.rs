//! The path of a request from caller to target and back.

mod common;

use common::{client, fleet, target};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";

// Guards against a request that does not reach a target beside its node.
#[test]
fn request_reaches_a_local_target() {
    let (node, _) = fleet::node_with_target(target::answering(OK));

    let answer = client::exchange(node.caller, &client::get("/guiones/x", ""));

    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nhello"), "{answer}");
}

// Guards against a request that does not reach a target beside another node.
#[test]
fn request_reaches_a_target_of_another_node() {
    let control = fleet::control();
    let near = fleet::node("near", control);
    let far = fleet::node("far", control);
    let target = target::start(target::answering(OK));
    far.announce(&target, 8);
    near.wait_for_target();

    let answer = client::exchange(near.caller, &client::get("/guiones", ""));

    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nhello"), "{answer}");
}
