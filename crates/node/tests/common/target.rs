//! A target that answers each request with fixed bytes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Total size of the recorded request heads from which on no more are recorded.
const MAX_RECORDED_BYTES: usize = 64 << 10;

/// How a target answers.
#[derive(Clone, Copy)]
pub struct Script {
    /// Bytes sent for each request.
    pub answer: &'static str,
    /// Time before they are sent.
    pub delay: Duration,
    /// Whether the connection closes afterwards.
    pub close: bool,
}

/// A script that answers at once and keeps the connection.
pub fn answering(answer: &'static str) -> Script {
    Script {
        answer,
        delay: Duration::ZERO,
        close: false,
    }
}

/// A running target.
#[derive(Clone)]
pub struct Target {
    pub address: SocketAddr,
    pub requests: Arc<AtomicUsize>,
    pub connections: Arc<AtomicUsize>,
    /// Number of connections that the other side closed before the answer was sent.
    pub closed: Arc<AtomicUsize>,
    heads: Arc<Mutex<String>>,
}

impl Target {
    /// A target at an address; no listener is started for it.
    pub fn at(address: SocketAddr) -> Self {
        Self {
            address,
            requests: Arc::default(),
            connections: Arc::default(),
            closed: Arc::default(),
            heads: Arc::default(),
        }
    }

    /// The recorded heads of the requests that the target has received.
    pub fn received(&self) -> String {
        self.heads.lock().unwrap().clone()
    }
}

/// Starts a target; requests must come without a body.
pub fn start(script: Script) -> Target {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let target = Target::at(listener.local_addr().unwrap());
    let shared = target.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            shared.connections.fetch_add(1, Ordering::SeqCst);
            let target = shared.clone();
            thread::spawn(move || serve(stream, script, &target));
        }
    });
    target
}

fn serve(mut stream: TcpStream, script: Script, target: &Target) {
    let mut buffer = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        while !buffer.windows(4).any(|window| window == b"\r\n\r\n") {
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => return,
                Ok(count) => buffer.extend_from_slice(&chunk[..count]),
            }
        }
        let head = String::from_utf8_lossy(&buffer).into_owned();
        let mut heads = target.heads.lock().unwrap();
        if heads.len() < MAX_RECORDED_BYTES {
            heads.push_str(&head);
        }
        drop(heads);
        buffer.clear();
        target.requests.fetch_add(1, Ordering::SeqCst);
        if !wait(&stream, script.delay) {
            target.closed.fetch_add(1, Ordering::SeqCst);
            return;
        }
        if stream.write_all(script.answer.as_bytes()).is_err() || script.close {
            return;
        }
    }
}

/// Waits for the delay; `false` when the other side closes meanwhile.
fn wait(mut stream: &TcpStream, delay: Duration) -> bool {
    if delay.is_zero() {
        return true;
    }
    stream.set_read_timeout(Some(delay)).unwrap();
    let closed = matches!(stream.read(&mut [0; 1]), Ok(0));
    stream.set_read_timeout(None).unwrap();
    !closed
}
