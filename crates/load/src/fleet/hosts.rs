//! Allocates loopback hosts for the processes of fleets.

use std::net::IpAddr;
use std::sync::atomic::{AtomicU16, Ordering};

use crate::ports;

/// Number of hosts that this process has allocated so far.
static ALLOCATED: AtomicU16 = AtomicU16::new(0);

/// Allocates a loopback host; the same host is returned again only after 254 calls.
/// The process id selects the block of hosts, from 127.0.16.0/24 to 127.0.254.0/24, so
/// that test programs that run concurrently use different ones.
#[must_use]
pub fn allocate() -> IpAddr {
    let number = ALLOCATED.fetch_add(1, Ordering::Relaxed);
    let block = (std::process::id() % 239) as u16 * 256;
    ports::loopback((16 * 256 + block).wrapping_add(number % 254 + 1))
}
