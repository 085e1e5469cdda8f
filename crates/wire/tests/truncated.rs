//! Messages whose sender stops and closes the connection before their end.

use std::io;

use http::Method;
use masticarch_kernel::runtime;
use masticarch_wire::http::{answer, budget, connection, fault, request};
use monoio::BufResult;
use monoio::buf::{IoBuf, IoBufMut, IoVecBuf, IoVecBufMut};
use monoio::io::{AsyncReadRent, AsyncWriteRent};
use rstest::rstest;

const MAX_BODY_BYTES: usize = 1 << 10;

/// A stream that sends some bytes and closes in an orderly way.
struct Closing<'a> {
    left: &'a [u8],
}

impl AsyncReadRent for Closing<'_> {
    async fn read<T: IoBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        let mut left = self.left;
        let (read, buffer) = left.read(buffer).await;
        self.left = left;
        (read, buffer)
    }

    async fn readv<T: IoVecBufMut>(&mut self, buffer: T) -> BufResult<usize, T> {
        (Err(io::ErrorKind::Unsupported.into()), buffer)
    }
}

impl AsyncWriteRent for Closing<'_> {
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

fn body_limits() -> connection::BodyLimits {
    connection::BodyLimits {
        max_bytes: MAX_BODY_BYTES,
        budget: budget::Budget::new(MAX_BODY_BYTES),
    }
}

fn receive_answer(bytes: &[u8]) -> Result<answer::Answer, fault::Fault> {
    let received = runtime::run(async {
        let mut connection = connection::Connection::new(Closing { left: bytes });
        connection
            .receive_answer(&Method::GET, &body_limits())
            .await
    });
    received.unwrap()
}

fn receive_request(bytes: &[u8]) -> Result<request::Request, fault::Fault> {
    let received = runtime::run(async {
        let mut connection = connection::Connection::new(Closing { left: bytes });
        connection.receive(&body_limits()).await
    });
    received.unwrap()
}

// Guards against an answer that ends early and is passed on as if it were whole.
#[rstest]
#[case::length("HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 5\r\n\r\nhello")]
#[case::empty("HTTP/1.1 200 OK\r\nx-a: b\r\ncontent-length: 0\r\n\r\n")]
#[case::chunked(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n"
)]
#[case::interim("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")]
#[case::no_content("HTTP/1.1 204 No Content\r\nx-a: b\r\n\r\n")]
fn answer_cut_at_any_byte_is_not_whole(#[case] answer: &str) {
    let whole = receive_answer(answer.as_bytes());

    assert!(whole.is_ok(), "{whole:?}");
    for length in 0..answer.len() {
        let cut = receive_answer(&answer.as_bytes()[..length]);
        assert!(cut.is_err(), "{:?}: {cut:?}", &answer[..length]);
    }
}

// Guards against an answer without a length that ends within its head and is passed on
// as one with an empty body.
#[test]
fn answer_without_a_length_cut_in_its_head_is_not_whole() {
    let head = "HTTP/1.1 200 OK\r\nx-a: b\r\n\r\n";

    for length in 0..head.len() {
        let cut = receive_answer(&head.as_bytes()[..length]);
        assert!(cut.is_err(), "{:?}: {cut:?}", &head[..length]);
    }
}

// Guards against a request that is forwarded although its sender has not finished it.
#[rstest]
#[case::no_body("GET /a HTTP/1.1\r\nhost: a\r\n\r\n")]
#[case::length("PUT /a HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nhello")]
#[case::chunked(
    "PUT /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
)]
fn request_cut_at_any_byte_is_not_received(#[case] request: &str) {
    let whole = receive_request(request.as_bytes());

    assert!(whole.is_ok(), "{whole:?}");
    for length in 0..request.len() {
        let cut = receive_request(&request.as_bytes()[..length]);
        assert!(cut.is_err(), "{:?}: {cut:?}", &request[..length]);
    }
}
