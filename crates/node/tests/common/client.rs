//! A client on a plain TCP stream, which sees every byte of an answer.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Opens a connection.
pub fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream
}

/// Sends bytes and reads until the other side closes.
pub fn exchange(address: SocketAddr, request: &[u8]) -> String {
    let mut stream = connect(address);
    // The other side may refuse and close before it has read everything.
    let _ = stream.write_all(request);
    read_all(&mut stream)
}

/// Reads until the other side closes.
pub fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// A `GET` request after which the connection is closed.
pub fn get(path: &str, headers: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n{headers}connection: close\r\n\r\n").into_bytes()
}
