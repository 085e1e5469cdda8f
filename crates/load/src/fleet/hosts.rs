//! Loopback hosts that no other fleet on the machine uses.

use std::net::IpAddr;
use std::sync::atomic::{AtomicU16, Ordering};

use crate::ports;

/// Hosts handed out by this process so far.
static ALLOCATED: AtomicU16 = AtomicU16::new(0);

/// A loopback host that this process has not handed out before. The id of the
/// process spreads concurrent test programs over 127.16.0.0 to 127.255.0.0.
#[must_use]
pub fn allocate() -> IpAddr {
    let number = ALLOCATED.fetch_add(1, Ordering::Relaxed);
    let spread = (std::process::id() % 239) as u16 * 256;
    ports::loopback((16 * 256 + spread).wrapping_add(number % 254 + 1))
}
