//! A target that answers with scripted bytes, which may be malformed or incomplete.
//!
//! Every connection is served by a thread of its own, which reports what happens on
//! the connection as events. Requests are read only up to the end of their head, so
//! they must have no body.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use masticarch_kernel::runtime;
use masticarch_load::fleet::handle;
use masticarch_load::http::connection;
use masticarch_load::ports;

/// Time between two announcements; the node removes a target 3 s after the last.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for the node to answer an announcement.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(800);
/// Bytes that an answer without end sends in one piece.
const BLOCK_BYTES: usize = 64 << 10;
/// Time between two such pieces.
const BLOCK_INTERVAL: Duration = Duration::from_millis(20);
const HEAD_END: &[u8] = b"\r\n\r\n";

/// How the target answers each request.
#[derive(Clone, Debug)]
pub enum Script {
    /// Sends these bytes and keeps the connection open.
    Send(Bytes),
    /// Sends these bytes and closes the connection.
    SendAndClose(Bytes),
    /// Sends the first bytes once, and then the others until the connection is closed, at
    /// a moderate rate, so that many such answers are under way at the same time.
    SendWithoutEnd(Bytes, Bytes),
    /// Sends nothing and keeps the connection open.
    Hold,
}

/// An event on a connection of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The head of a request arrived.
    Request,
    /// The node closed the connection.
    Closed,
}

/// A running target, which is not stopped before the test program ends.
pub struct RawTarget {
    address: SocketAddr,
    events: mpsc::Receiver<Event>,
}

impl RawTarget {
    /// Starts a target on the IP address of a node.
    ///
    /// # Panics
    /// When no port is free.
    #[must_use]
    pub fn start(node: &handle::Node, script: &Script) -> Self {
        let address = ports::allocate(node.settings.admin.ip()).expect("a port is free");
        let listener = TcpListener::bind(address).expect("the port is still free");
        let (sender, events) = mpsc::channel();
        let script = script.clone();
        thread::spawn(move || accept(&listener, &script, &sender));
        Self { address, events }
    }

    /// Announces the target to a node under a service, periodically and until the test
    /// program ends.
    pub fn announce(&self, node: &handle::Node, service: &str) {
        self.announce_slots(node, service, 8);
    }

    /// As [`RawTarget::announce`], with this number of slots and connections.
    pub fn announce_slots(&self, node: &handle::Node, service: &str, slots: usize) {
        let admin = node.settings.admin;
        let path = format!("/targets/{service}");
        let body = format!(
            r#"{{"address":"{}","slots":{slots},"connections":{slots},"state":"serving"}}"#,
            self.address
        );
        thread::spawn(move || runtime::run(announce(admin, path, body.into())));
    }

    /// Whether the next event arrives before the timeout and is `wanted`.
    #[must_use]
    pub fn wait_for(&self, wanted: Event, timeout: Duration) -> bool {
        self.events.recv_timeout(timeout) == Ok(wanted)
    }
}

async fn announce(admin: SocketAddr, path: String, body: Bytes) {
    loop {
        let request = Request::put(path.as_str())
            .header(http::header::HOST, "node")
            .body(body.clone())
            .expect("the path is valid");
        let _ =
            monoio::time::timeout(ANNOUNCEMENT_TIMEOUT, connection::exchange(admin, request)).await;
        monoio::time::sleep(ANNOUNCEMENT_INTERVAL).await;
    }
}

fn accept(listener: &TcpListener, script: &Script, events: &mpsc::Sender<Event>) {
    for stream in listener.incoming().flatten() {
        let script = script.clone();
        let events = events.clone();
        thread::spawn(move || serve(stream, &script, &events));
    }
}

fn serve(mut stream: TcpStream, script: &Script, events: &mpsc::Sender<Event>) {
    while read_head(&mut stream) {
        let _ = events.send(Event::Request);
        let sent = match script {
            Script::Hold => true,
            Script::Send(bytes) => stream.write_all(bytes).is_ok(),
            Script::SendWithoutEnd(start, unit) => {
                let _ = send_without_end(&mut stream, start, unit);
                false
            }
            Script::SendAndClose(bytes) => {
                let _ = stream.write_all(bytes);
                return;
            }
        };
        if !sent {
            break;
        }
    }
    let _ = events.send(Event::Closed);
}

fn send_without_end(stream: &mut TcpStream, start: &[u8], unit: &[u8]) -> std::io::Result<()> {
    let units = unit.repeat(BLOCK_BYTES / unit.len() + 1);
    stream.write_all(start)?;
    loop {
        stream.write_all(&units)?;
        thread::sleep(BLOCK_INTERVAL);
    }
}

/// Reads up to the end of a head; `false` when the connection is closed first.
fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut chunk = [0; 1024];
    while !head.ends_with(HEAD_END) {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return false,
            Ok(count) => head.extend_from_slice(&chunk[..count]),
        }
    }
    true
}
