//! Free loopback addresses.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

use crate::error;

/// The loopback address of a numbered host: 127.0.x.y.
#[must_use]
pub fn host(number: u16) -> IpAddr {
    let [high, low] = number.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 0, high, low))
}

/// Below the range from which the system takes ports for outgoing connections,
/// so that none of those is in the way when the port is bound again.
const RANGE: std::ops::Range<u16> = 10_000..30_000;

/// Ports handed out by this process so far.
static NEXT: AtomicU16 = AtomicU16::new(0);

/// A port that is free at the moment and that this process has not handed out
/// shortly before: a port that is only probed would be handed out twice now and
/// then. Another process may take it before it is bound again; hosts of their own
/// for each fleet make that unlikely.
///
/// # Errors
/// [`error::Error::Io`] when the host has no free port.
pub fn free(host: IpAddr) -> Result<SocketAddr, error::Error> {
    let mut failure = io::Error::other("no port was tried");
    for _ in RANGE {
        let number = NEXT.fetch_add(1, Ordering::Relaxed) % (RANGE.end - RANGE.start);
        match TcpListener::bind((host, RANGE.start + number)) {
            Ok(listener) => return Ok(listener.local_addr()?),
            Err(error) => failure = error,
        }
    }
    Err(failure.into())
}
