//! Accepts connections on a separate thread and connects each to the upstream
//! address.
//!
//! A reset needs a duplicate of the socket. The sockets of the standard library can
//! be duplicated, those of the runtime cannot. The thread blocks in `accept`.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use masticarch_kernel::address;

use super::service;

/// Timeout for connecting to the upstream address.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The two sockets of a relayed connection.
#[derive(Debug)]
pub struct Pair {
    /// Accepted socket of the client.
    pub client: TcpStream,
    /// Socket that is connected to the upstream address.
    pub upstream: TcpStream,
}

/// A running acceptor thread; it stops when dropped.
pub struct Acceptor {
    listening: SocketAddr,
    stopping: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Acceptor {
    /// Binds the listening address and starts the thread, which sends each pair of
    /// sockets to the service. Connections are closed if the upstream address cannot
    /// be reached.
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

    /// Listening address, with the port that was bound.
    #[must_use]
    pub const fn listening(&self) -> SocketAddr {
        self.listening
    }
}

impl Drop for Acceptor {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Release);
        // A new connection makes `accept` return, so that the thread sees the flag.
        let connected = TcpStream::connect_timeout(&self.listening, CONNECT_TIMEOUT);
        if let (Ok(_), Some(thread)) = (connected, self.thread.take()) {
            let _ = thread.join();
        }
    }
}
