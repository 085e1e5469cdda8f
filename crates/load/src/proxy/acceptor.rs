//! Accepts connections on a thread of its own.
//!
//! The standard library's sockets can be duplicated, which a reset needs, and
//! the runtime's cannot. The thread blocks in `accept`.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use masticarch_kernel::address;

use super::service;

/// Time for opening the connection to the upstream side.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A pair of connections that belong together.
#[derive(Debug)]
pub struct Pair {
    /// From the side that opened the connection.
    pub client: TcpStream,
    /// To the upstream side.
    pub upstream: TcpStream,
}

/// A running acceptor; it ends when dropped.
pub struct Acceptor {
    listening: SocketAddr,
    stopping: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Acceptor {
    /// Starts to accept.
    ///
    /// # Errors
    /// The error of the operating system when the address cannot be bound.
    pub fn start(
        listening: SocketAddr,
        upstream: SocketAddr,
        service: address::Address<service::Message>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(listening)?;
        let listening = listener.local_addr()?;
        let stopping = Arc::new(AtomicBool::new(false));
        let flag = stopping.clone();
        let thread = thread::spawn(move || {
            while let Ok((client, _)) = listener.accept() {
                if flag.load(Ordering::Acquire) {
                    return;
                }
                let Ok(upstream) = TcpStream::connect_timeout(&upstream, CONNECT_TIMEOUT) else {
                    continue;
                };
                let _ = service.try_send(service::Message::Accepted(Pair { client, upstream }));
            }
        });
        Ok(Self {
            listening,
            stopping,
            thread: Some(thread),
        })
    }

    /// The listening address.
    #[must_use]
    pub const fn listening(&self) -> SocketAddr {
        self.listening
    }
}

impl Drop for Acceptor {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Release);
        // A connection of its own wakes the thread out of `accept`.
        let connected = TcpStream::connect_timeout(&self.listening, CONNECT_TIMEOUT);
        if let (Ok(_), Some(thread)) = (connected, self.thread.take()) {
            let _ = thread.join();
        }
    }
}
