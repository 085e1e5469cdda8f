//! A TCP proxy whose open connections can go silent while new ones work.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Start of a probe between nodes.
const PROBE: &[u8] = b"GET /ping ";

/// A running proxy.
pub struct Proxy {
    pub address: SocketAddr,
    /// Raised by [`Proxy::silence`]; connections of an earlier generation forward nothing.
    generation: Arc<AtomicUsize>,
    frozen: Arc<AtomicBool>,
    /// Number of open directions, two for each connection.
    open: Arc<AtomicUsize>,
    /// Client sides of the connections on which a probe was sent.
    probed: Arc<Mutex<Vec<TcpStream>>>,
}

/// Starts a proxy at an address that is advertised already, and forwards to `to`.
pub fn start(address: SocketAddr, to: SocketAddr) -> Proxy {
    let listener = TcpListener::bind(address).unwrap();
    let generation = Arc::new(AtomicUsize::new(0));
    let open = Arc::new(AtomicUsize::new(0));
    let frozen = Arc::new(AtomicBool::new(false));
    let stopped = frozen.clone();
    let (shared, counted) = (generation.clone(), open.clone());
    let probed = Arc::<Mutex<Vec<TcpStream>>>::default();
    let noted = probed.clone();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(to) else {
                continue;
            };
            client.set_nodelay(true).unwrap();
            server.set_nodelay(true).unwrap();
            let directions = [
                (client.try_clone().unwrap(), server.try_clone().unwrap()),
                (server, client),
            ];
            let started_in = shared.load(Ordering::SeqCst);
            for (from, to) in directions {
                let (shared, counted) = (shared.clone(), counted.clone());
                let stopped = stopped.clone();
                let noted = noted.clone();
                counted.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let passes = || {
                        shared.load(Ordering::SeqCst) == started_in
                            && !stopped.load(Ordering::SeqCst)
                    };
                    let note_probe = |from: &TcpStream, bytes: &[u8]| {
                        if bytes.windows(PROBE.len()).any(|part| part == PROBE) {
                            noted.lock().unwrap().push(from.try_clone().unwrap());
                        }
                    };
                    copy(from, to, passes, note_probe);
                    counted.fetch_sub(1, Ordering::SeqCst);
                });
            }
        }
    });
    Proxy {
        address,
        generation,
        frozen,
        open,
        probed,
    }
}

impl Proxy {
    /// Whether any connection is open in at least one direction.
    pub fn is_in_use(&self) -> bool {
        self.open.load(Ordering::SeqCst) > 0
    }

    /// Forwards nothing for this time, on open and on new connections.
    pub fn freeze(&self, time: Duration) {
        self.set_frozen(true);
        thread::sleep(time);
        self.set_frozen(false);
    }

    /// Stops forwarding on open and on new connections, or goes on with it.
    pub fn set_frozen(&self, frozen: bool) {
        self.frozen.store(frozen, Ordering::SeqCst);
    }

    /// Whether a probe was sent on any connection that has not been closed since.
    pub fn has_probe(&self) -> bool {
        !self.probed.lock().unwrap().is_empty()
    }

    /// Closes the connections on which a probe was sent, and no others.
    pub fn close_probed(&self) {
        for connection in self.probed.lock().unwrap().drain(..) {
            connection.shutdown(std::net::Shutdown::Both).unwrap();
        }
    }

    /// Stops forwarding on the connections that are open now, without closing them.
    pub fn silence(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

fn copy(
    mut from: TcpStream,
    mut to: TcpStream,
    passes: impl Fn() -> bool,
    inspect: impl Fn(&TcpStream, &[u8]),
) {
    let mut buffer = [0; 4096];
    while let Ok(count) = from.read(&mut buffer) {
        if count == 0 {
            break;
        }
        inspect(&from, &buffer[..count]);
        while !passes() {
            thread::sleep(Duration::from_millis(10));
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(std::net::Shutdown::Both);
}
