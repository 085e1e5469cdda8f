//! Connections that send bytes without end.

use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::error;

/// Pause after all connections have sent what their peers take at once.
const ROUND_PAUSE: Duration = Duration::from_millis(1);

/// What each connection sends: `start` once, then `unit` again and again.
#[derive(Clone, Copy, Debug)]
pub struct Script<'a> {
    /// Bytes at the start.
    pub start: &'a [u8],
    /// Bytes that are repeated.
    pub unit: &'a [u8],
}

/// Open connections that send until they are closed by the other side, or dropped.
pub struct Flood {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

/// One connection and how many bytes it has sent.
struct Connection {
    stream: TcpStream,
    sent: usize,
}

impl Connection {
    /// Sends what the other side takes at once; `None` when it has closed the
    /// connection.
    fn send(&mut self, start: &[u8], units: &[u8]) -> Option<usize> {
        let next = match self.sent.checked_sub(start.len()) {
            None => &start[self.sent..],
            Some(past) => &units[past % units.len()..],
        };
        match self.stream.write(next) {
            Ok(0) => None,
            Ok(count) => {
                self.sent += count;
                Some(count)
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Some(0),
            Err(_) => None,
        }
    }
}

impl Flood {
    /// Opens connections and starts to send.
    ///
    /// # Errors
    /// [`error::Error::Io`] when a connection cannot be opened.
    ///
    /// # Panics
    /// When the repeated bytes are none.
    pub fn start(
        address: SocketAddr,
        connections: usize,
        script: Script<'_>,
    ) -> Result<Self, error::Error> {
        assert!(!script.unit.is_empty(), "nothing is repeated");
        let open = || {
            let stream = TcpStream::connect(address)?;
            stream.set_nonblocking(true)?;
            Ok(Connection { stream, sent: 0 })
        };
        let open: Result<Vec<_>, std::io::Error> =
            std::iter::repeat_with(open).take(connections).collect();
        let mut open = open?;
        let stop = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(AtomicU64::new(0));
        let start = script.start.to_vec();
        let units = script.unit.repeat((16 << 10) / script.unit.len() + 1);
        let (stopped, counted) = (Arc::clone(&stop), Arc::clone(&sent));
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                open.retain_mut(|connection| {
                    let count = connection.send(&start, &units);
                    let bytes = u64::try_from(count.unwrap_or(0)).unwrap_or(0);
                    counted.fetch_add(bytes, Ordering::SeqCst);
                    count.is_some()
                });
                thread::sleep(ROUND_PAUSE);
            }
        });
        Ok(Self {
            stop,
            sent,
            thread: Some(thread),
        })
    }

    /// Bytes that the other side has taken from all connections.
    #[must_use]
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::SeqCst)
    }
}

impl Drop for Flood {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
