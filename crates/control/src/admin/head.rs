//! Reads the head of an HTTP request with bounds on size and time.

use std::time::Duration;

use monoio::io::AsyncReadRent;

/// Maximum size of a head; requests on this port carry few headers. The bound keeps
/// every header name far below 64 KiB, at which the HTTP decoder panics.
const MAX_BYTES: usize = 8 << 10;
/// Time for the whole head to arrive.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
const CHUNK_BYTES: usize = 1 << 10;
const TERMINATOR: &[u8] = b"\r\n\r\n";

/// Reads up to and including the blank line, and possibly beyond it; `None` when
/// the head does not arrive whole, in time and within [`MAX_BYTES`].
pub async fn read(stream: &mut impl AsyncReadRent) -> Option<Vec<u8>> {
    monoio::time::timeout(READ_TIMEOUT, read_bounded(stream))
        .await
        .ok()
        .flatten()
}

async fn read_bounded(stream: &mut impl AsyncReadRent) -> Option<Vec<u8>> {
    let mut head = Vec::new();
    while head.len() < MAX_BYTES {
        let (read, chunk) = stream.read(vec![0; CHUNK_BYTES]).await;
        let count = read.ok().filter(|count| *count > 0)?;
        head.extend_from_slice(&chunk[..count]);
        if head
            .windows(TERMINATOR.len())
            .any(|window| window == TERMINATOR)
        {
            return Some(head);
        }
    }
    None
}
