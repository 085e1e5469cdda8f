//! A target that answers each request with fixed bytes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

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
}

/// Starts a target; requests must come without a body.
pub fn start(script: Script) -> Target {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let target = Target {
        address: listener.local_addr().unwrap(),
        requests: Arc::default(),
        connections: Arc::default(),
    };
    let shared = target.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            shared.connections.fetch_add(1, Ordering::SeqCst);
            let requests = shared.requests.clone();
            thread::spawn(move || serve(stream, script, &requests));
        }
    });
    target
}

fn serve(mut stream: TcpStream, script: Script, requests: &AtomicUsize) {
    let mut buffer = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        while !buffer.windows(4).any(|window| window == b"\r\n\r\n") {
            match stream.read(&mut chunk) {
                Ok(0) | Err(_) => return,
                Ok(count) => buffer.extend_from_slice(&chunk[..count]),
            }
        }
        buffer.clear();
        requests.fetch_add(1, Ordering::SeqCst);
        thread::sleep(script.delay);
        if stream.write_all(script.answer.as_bytes()).is_err() || script.close {
            return;
        }
    }
}
