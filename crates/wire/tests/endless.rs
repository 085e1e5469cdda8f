//! Answers whose head or body never ends.

use std::io;
use std::time::{Duration, Instant};

use http::Method;
use masticarch_kernel::runtime;
use masticarch_wire::http::{answer, budget, connection, fault};
use monoio::BufResult;
use monoio::buf::{IoBuf, IoBufMut, IoVecBuf, IoVecBufMut};
use monoio::io::{AsyncReadRent, AsyncWriteRent};
use rstest::rstest;

const MAX_BODY_BYTES: usize = 4 << 20;
const BUDGET_BYTES: usize = 256 << 10;
/// Bytes that a connection may read beyond its budget: a head and some reads.
const OVERHEAD_BYTES: usize = 64 << 10;

/// A stream that sends `start` and then `unit` again and again.
struct Endless {
    start: Vec<u8>,
    unit: Vec<u8>,
    sent: usize,
}

impl Endless {
    /// The bytes that are sent next, up to the end of `start` or of a unit.
    fn next(&self) -> &[u8] {
        match self.sent.checked_sub(self.start.len()) {
            None => &self.start[self.sent..],
            Some(past) => &self.unit[past % self.unit.len()..],
        }
    }
}

impl AsyncReadRent for Endless {
    async fn read<T: IoBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        let mut next = self.next();
        let (read, buffer) = next.read(buffer).await;
        self.sent += read.as_ref().unwrap();
        (read, buffer)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        (Err(io::ErrorKind::Unsupported.into()), buffer)
    }
}

impl AsyncWriteRent for Endless {
    async fn write<T: IoBuf>(&mut self, buffer: T) -> BufResult<usize, T> {
        (Ok(buffer.bytes_init()), buffer)
    }

    async fn writev<T: IoVecBuf>(&mut self, buffer: T) -> BufResult<usize, T> {
        (Err(io::ErrorKind::Unsupported.into()), buffer)
    }

    async fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Reads an answer; returns its fault and the number of bytes that were read.
fn receive(start: &str, unit: &str) -> (Result<answer::Answer, fault::Fault>, usize) {
    let mut stream = Endless {
        start: start.into(),
        unit: unit.repeat(1 << 10).into(),
        sent: 0,
    };
    let limits = connection::BodyLimits {
        max_bytes: MAX_BODY_BYTES,
        budget: budget::Budget::new(BUDGET_BYTES),
    };
    let received = runtime::run(async {
        let mut connection = connection::Connection::new(&mut stream);
        connection.receive_answer(&Method::GET, &limits).await
    });
    (received.unwrap(), stream.sent)
}

// Guards against a target that sends bytes without end, which take more memory than the
// budget for bodies has, or processor time that grows with the square of their number.
#[rstest]
#[case::header_lines("HTTP/1.1 200 OK\r\n", "a: b\r\n")]
#[case::header_line("HTTP/1.1 200 OK\r\na: ", "b")]
#[case::no_http("", "x")]
#[case::empty_lines("", "\r\n")]
#[case::interim_answers("", "HTTP/1.1 100 Continue\r\n\r\n")]
#[case::body_until_close("HTTP/1.1 200 OK\r\n\r\n", "b")]
#[case::body_of_a_length("HTTP/1.1 200 OK\r\ncontent-length: 4000000\r\n\r\n", "b")]
#[case::chunks(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
    "20\r\nbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb\r\n"
)]
#[case::one_chunk("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3fffff\r\n", "b")]
#[case::chunk_size("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0")]
#[case::chunk_extension("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "x")]
#[case::trailers(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
    "a: b\r\n"
)]
fn endless_answer_is_given_up(#[case] start: &str, #[case] unit: &str) {
    let begun = Instant::now();

    let (answer, read) = receive(start, unit);

    assert!(answer.is_err());
    assert!(read <= BUDGET_BYTES + OVERHEAD_BYTES, "{read} bytes");
    assert!(begun.elapsed() < Duration::from_secs(1));
}
