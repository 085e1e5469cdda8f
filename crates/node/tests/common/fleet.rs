//! A control stand-in and nodes, each on a thread of its own.

use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use masticarch_kernel::{runtime, stop};
use masticarch_model::place;
use masticarch_node::{options, role};
use masticarch_wire::handshake;

use super::{client, control, target};

/// A running node.
pub struct Node {
    pub caller: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// An unused address.
pub fn address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// The fleet's secret.
pub fn credential() -> handshake::Credential {
    handshake::Credential::new("fleet".into(), "secret")
}

/// Starts the control stand-in.
pub fn control() -> SocketAddr {
    let address = address();
    thread::spawn(move || runtime::run(control::run(address, credential())));
    address
}

/// Starts a node.
pub fn node(name: &str, control: SocketAddr) -> Node {
    let (caller, peer, admin) = (address(), address(), address());
    let options = options::Options::builder()
        .name(name.into())
        .place(place::Place {
            region: "centro".into(),
            domain: "a".into(),
        })
        .caller(caller)
        .peer(peer)
        .admin(admin)
        .control(vec![control])
        .credential(credential())
        .max_request_bytes(1000)
        .max_answer_bytes(1000)
        .build();
    let (sender, receiver) = mpsc::channel();
    let builder = thread::Builder::new().name(format!("node-{name}"));
    let run = move || {
        let (stop, signal) = stop::Stop::new();
        sender.send(stop).unwrap();
        runtime::run(role::run(options, signal)).unwrap().unwrap();
    };
    let thread = builder.spawn(run).unwrap();
    Node {
        caller,
        peer,
        admin,
        stop: Some(receiver.recv().unwrap()),
        thread: Some(thread),
    }
}

impl Node {
    /// Asks the node to stop.
    pub fn stop(&mut self) {
        drop(self.stop.take());
    }

    /// Waits until the node has stopped.
    pub fn join(&mut self) {
        self.thread.take().unwrap().join().unwrap();
    }

    /// Announces a target and waits until callers of another node, or of this
    /// one, reach the service.
    pub fn announce(&self, target: &target::Target, connections: u32) {
        let body = format!(
            r#"{{"address":"{}","slots":8,"connections":{connections},"state":"serving"}}"#,
            target.address
        );
        let length = body.len();
        let request = format!(
            "PUT /targets/service HTTP/1.1\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
        );
        wait_for(|| client::exchange(self.admin, request.as_bytes()).contains("204"));
    }

    /// Waits until the node knows a target, without running a request there.
    pub fn wait_for_target(&self) {
        let request = client::get("/status", "");
        wait_for(|| {
            let status = client::exchange(self.admin, &request);
            status.contains(r#""current_ms":"#) && !status.contains(r#""version":0"#)
        });
        thread::sleep(Duration::from_millis(200));
    }
}

/// Waits until a condition holds.
pub fn wait_for(condition: impl Fn() -> bool) {
    let begun = Instant::now();
    while !condition() {
        assert!(begun.elapsed() < Duration::from_secs(10), "timed out");
        thread::sleep(Duration::from_millis(20));
    }
}

/// A node with one target beside it.
pub fn node_with_target(script: target::Script) -> (Node, target::Target) {
    let node = node("uno", control());
    let target = target::start(script);
    wait_for(|| std::net::TcpStream::connect(node.admin).is_ok());
    node.announce(&target, 8);
    node.wait_for_target();
    (node, target)
}
