//! Free loopback addresses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};

use crate::error;

/// The loopback address of a numbered host: 127.0.x.y.
#[must_use]
pub fn host(number: u16) -> IpAddr {
    let [high, low] = number.to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 0, high, low))
}

/// A port that is free at the moment. Another process may take it before it is
/// bound again; hosts of their own for each fleet make that unlikely.
///
/// # Errors
/// [`error::Error::Io`] when the host has no free port.
pub fn free(host: IpAddr) -> Result<SocketAddr, error::Error> {
    Ok(TcpListener::bind((host, 0))?.local_addr()?)
}
