//! Allocates loopback addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU16, Ordering};

use crate::error;

/// The loopback address 127.0.x.y whose last two bytes are `number`.
#[must_use]
pub fn loopback(number: u16) -> IpAddr {
    let [high, low] = number.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 0, high, low))
}

/// Ports to allocate. They lie below the range from which the system takes ports
/// for outgoing connections, so that no such connection occupies a port when the
/// port is bound again.
const PORTS: std::ops::Range<u16> = 10_000..30_000;

/// Number of ports that this process has allocated so far.
static ALLOCATED: AtomicU16 = AtomicU16::new(0);

/// Allocates a port; the same port is returned again only after all others of
/// the range. The port is not probed by binding it: a process that is started at
/// that moment would inherit the probing socket for a few milliseconds, and the
/// port would still be in use when its owner binds it. Other processes don't take
/// the port because each fleet has its own hosts.
///
/// # Errors
/// None; the result lets ports be probed later without a change to callers.
#[allow(
    clippy::unnecessary_wraps,
    reason = "callers handle a failed allocation"
)]
pub fn allocate(host: IpAddr) -> Result<SocketAddr, error::Error> {
    let number = ALLOCATED.fetch_add(1, Ordering::Relaxed) % (PORTS.end - PORTS.start);
    Ok(SocketAddr::new(host, PORTS.start + number))
}
