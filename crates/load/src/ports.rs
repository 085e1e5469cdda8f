//! Free loopback addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

use crate::error;

/// The loopback address of a numbered host: 127.0.x.y.
#[must_use]
pub fn loopback(number: u16) -> IpAddr {
    let [high, low] = number.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 0, high, low))
}

/// Below the range from which the system takes ports for outgoing connections,
/// so that none of those is in the way when the port is bound again.
const PORTS: std::ops::Range<u16> = 10_000..30_000;

/// Ports handed out by this process so far.
static ALLOCATED: AtomicU16 = AtomicU16::new(0);

/// A port that this process has not handed out shortly before. It is not probed
/// by binding it: a process that is started at that moment would inherit the
/// probing socket for a few milliseconds, and the port would be in use when it is
/// bound for good. Hosts of their own for each fleet keep other processes away.
///
/// # Errors
/// None at present; callers need not change if ports are probed again.
#[allow(
    clippy::unnecessary_wraps,
    reason = "callers handle a port that cannot be had"
)]
pub fn allocate(host: IpAddr) -> Result<SocketAddr, error::Error> {
    let number = ALLOCATED.fetch_add(1, Ordering::Relaxed) % (PORTS.end - PORTS.start);
    Ok(SocketAddr::new(host, PORTS.start + number))
}
