//! HTTP/1.1 connections, on the client's and the server's side.

use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use futures::FutureExt;
use http::{Method, header};
use masticarch_kernel::task;
use monoio::buf::IoBufMut;
use monoio::io::{AsyncReadRent, AsyncWriteRent, AsyncWriteRentExt};
use monoio_codec::{Decoded, Decoder};
use monoio_http::h1::codec::decoder;

use super::{answer, body, budget, fault, framing, head, limits, request};

/// Least buffer space for one read.
const MIN_READ_BYTES: usize = 4 << 10;
/// Buffer space for one read while [`Connection::closed`] waits. It is allocated
/// for every request, and small enough for the allocator's per-thread cache.
const READ_AHEAD_CHUNK_BYTES: usize = 1 << 10;
/// Largest body that is read through the input buffer, together with what follows it, and
/// that is sent in one piece with its head.
const MAX_COPIED_BYTES: usize = 4 << 10;
/// Bytes of a head or of later requests that a connection holds without a reservation.
const UNRESERVED_BYTES: usize = 4 << 10;
/// Bytes of bodies after which a connection that can always read lets other tasks run.
const TURN_BYTES: usize = 64 << 10;
/// Bytes that a chunk counts as in such a turn: small ones cost more than their bytes.
const CHUNK_TURN_BYTES: usize = 1 << 10;
/// Most digits of a chunk size.
const MAX_CHUNK_SIZE_DIGITS: usize = 16;
/// Most bytes that [`Connection::finish`] reads and discards.
const MAX_DISCARDED_BYTES: usize = 4 << 20;
/// Longest time for which [`Connection::finish`] reads.
const FINISH_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest output buffer that is kept for the next message.
const MAX_KEPT_BYTES: usize = 64 << 10;

/// Limits on the size of the messages that a connection receives.
#[derive(Clone, Debug)]
pub struct BodyLimits {
    /// Largest body, in bytes.
    pub max_bytes: usize,
    /// Budget for the bodies and long heads of all connections.
    pub budget: budget::Budget,
}

impl BodyLimits {
    fn reserve(&self, bytes: usize) -> Result<budget::Reservation, fault::Fault> {
        self.budget.reserve(bytes).ok_or(fault::Fault::BufferFull)
    }
}

/// Why [`Connection::exchange`] got no answer.
#[derive(Debug)]
pub struct Failure {
    /// What went wrong.
    pub fault: fault::Fault,
    /// Whether any byte of the request may have reached the other side.
    pub sent: bool,
}

/// A connection with its buffers. It carries one request at a time; pipelined
/// requests are read in the order of their arrival.
#[derive(Debug)]
pub struct Connection<S> {
    stream: S,
    input: BytesMut,
    output: BytesMut,
    /// Bytes of bodies that were read since other tasks could last run.
    turn: usize,
}

impl<S: AsyncReadRent + AsyncWriteRent> Connection<S> {
    /// Wraps an open stream.
    #[must_use]
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            turn: 0,
        }
    }

    /// Waits for the first byte of the next message; `false` when the other side
    /// closed the connection instead. Dropping the future before a byte has arrived
    /// loses no data.
    pub async fn ready(&mut self) -> bool {
        !self.input.is_empty() || self.fill().await.is_ok()
    }

    /// Reads the rest of a request whose first byte has arrived.
    ///
    /// # Errors
    /// A [`fault::Fault`], after which the connection must be closed.
    pub async fn receive(
        &mut self,
        body_limits: &BodyLimits,
    ) -> Result<request::Request, fault::Fault> {
        let mut head = self
            .head_with_timeout(limits::HEAD_TIMEOUT, body_limits)
            .await?;
        let head_bytes = head.len();
        let Decoded::Some(head) = decoder::RequestHeadDecoder
            .decode(&mut head)
            .map_err(|_| fault::Fault::Malformed("request head"))?
        else {
            return Err(fault::Fault::Malformed("request head"));
        };
        if head.method == Method::CONNECT {
            return Err(fault::Fault::Malformed("CONNECT is not served"));
        }
        let framing = framing::Framing::request(&head.headers)?;
        if head.headers.contains_key(header::EXPECT) && self.input.is_empty() {
            self.write(Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n"))
                .await?;
        }
        let body = self
            .body_with_timeout(framing, head_bytes, body_limits)
            .await?;
        Ok(request::Request {
            keep_alive: request::keeps_alive(head.version, &head.headers),
            method: head.method,
            uri: head.uri,
            headers: head.headers,
            body: body.bytes,
            reservation: body.reservation,
        })
    }

    /// Sends an answer.
    ///
    /// # Errors
    /// [`fault::Fault::Closed`].
    pub async fn reply(
        &mut self,
        answer: &answer::Answer,
        head_only: bool,
    ) -> Result<(), fault::Fault> {
        let mut output = std::mem::take(&mut self.output);
        answer.encode_head(head_only, &mut output);
        let body = if answer.is_bodiless(head_only) {
            Bytes::new()
        } else {
            rest_of_body(&answer.body, &mut output)
        };
        let (written, output) = self.stream.write_all(output).await;
        written?;
        if !body.is_empty() {
            self.write(body).await?;
        }
        self.keep_output(output);
        Ok(())
    }

    fn keep_output(&mut self, mut output: BytesMut) {
        output.clear();
        if output.capacity() <= MAX_KEPT_BYTES {
            self.output = output;
        }
    }

    /// Waits until the other side closes the connection. Bytes that arrive meanwhile
    /// are buffered as later requests. With [`limits::READ_AHEAD_BYTES`] in the
    /// buffer, or when the budget is used up, it stops reading and never returns.
    pub async fn closed(&mut self, body_limits: &BodyLimits) {
        let Ok(pending) = body_limits.reserve(0) else {
            return std::future::pending().await;
        };
        while self.input.len() < limits::READ_AHEAD_BYTES
            && pending.try_cover(to_reserve(&self.input))
        {
            let (read, buffer) = self
                .stream
                .read(BytesMut::with_capacity(READ_AHEAD_CHUNK_BYTES))
                .await;
            match read {
                Ok(0) | Err(_) => return,
                Ok(_) => self.input.extend_from_slice(&buffer),
            }
        }
        std::future::pending::<()>().await;
    }

    /// Ends the connection with a lingering close: closes the sending side, and then
    /// reads and discards what the other side still sends, for a short time. Closing
    /// with unread bytes would reset the connection, and the other side might lose
    /// the last answer.
    pub async fn finish(&mut self) {
        let _ = self.stream.shutdown().await;
        let rest = async {
            let mut total = 0;
            while total < MAX_DISCARDED_BYTES {
                self.input.clear();
                if self.fill().await.is_err() {
                    return;
                }
                total += self.input.len();
            }
        };
        let _ = monoio::time::timeout(FINISH_TIMEOUT, rest).await;
    }

    /// Whether an idle connection can carry another request: it is open, and no
    /// unsolicited byte has arrived.
    pub fn is_reusable(&mut self) -> bool {
        let unsolicited = self.stream.read(BytesMut::with_capacity(1));
        self.input.is_empty() && unsolicited.now_or_never().is_none()
    }

    /// Sends a request and reads its whole answer. The connection may be used again
    /// only if `keep_alive` of the answer is set.
    ///
    /// # Errors
    /// A [`Failure`], after which the connection must be closed.
    pub async fn exchange(
        &mut self,
        request: &request::Request,
        body_limits: &BodyLimits,
    ) -> Result<answer::Answer, Failure> {
        self.send(request).await?;
        let answer = self.receive_answer(&request.method, body_limits).await;
        answer.map_err(|fault| Failure { fault, sent: true })
    }

    async fn send(&mut self, request: &request::Request) -> Result<(), Failure> {
        let mut output = std::mem::take(&mut self.output);
        request.encode_head(&mut output);
        let body = rest_of_body(&request.body, &mut output);
        let (first, output) = self.stream.write(output).await;
        let written = match first {
            Ok(written) if written > 0 => written,
            _ => {
                return Err(Failure {
                    fault: fault::Fault::Closed,
                    sent: false,
                });
            }
        };
        let closed = |_| Failure {
            fault: fault::Fault::Closed,
            sent: true,
        };
        let mut output = output;
        if written < output.len() {
            let rest = output.split_off(written);
            self.stream.write_all(rest).await.0.map_err(closed)?;
        }
        if !body.is_empty() {
            self.stream.write_all(body).await.0.map_err(closed)?;
        }
        self.keep_output(output);
        Ok(())
    }

    /// Reads the next final answer, to a request with this method.
    ///
    /// # Errors
    /// A [`fault::Fault`], after which the connection must be closed.
    pub async fn receive_answer(
        &mut self,
        method: &Method,
        body_limits: &BodyLimits,
    ) -> Result<answer::Answer, fault::Fault> {
        for _ in 0..limits::INTERIM_ANSWERS {
            let mut head = self.head(body_limits).await?;
            let head_bytes = head.len();
            let Decoded::Some(head) = decoder::ResponseHeadDecoder
                .decode(&mut head)
                .map_err(|_| fault::Fault::Malformed("answer head"))?
            else {
                return Err(fault::Fault::Malformed("answer head"));
            };
            if head.status.is_informational() {
                continue;
            }
            let framing = framing::Framing::answer(method, head.status, &head.headers)?;
            let body = self.body(framing, head_bytes, body_limits).await?;
            // Bytes after the answer are not the answer to any request that was sent.
            let keep_alive = self.input.is_empty()
                && framing != framing::Framing::UntilClose
                && request::keeps_alive(head.version, &head.headers);
            return Ok(answer::Answer {
                status: head.status,
                headers: head.headers,
                body: body.bytes,
                reservation: body.reservation,
                keep_alive,
            });
        }
        Err(fault::Fault::Malformed("too many interim answers"))
    }

    async fn head_with_timeout(
        &mut self,
        timeout: Duration,
        body_limits: &BodyLimits,
    ) -> Result<BytesMut, fault::Fault> {
        if let Some(end) = head::length(&self.input)? {
            return Ok(self.take_head(end));
        }
        monoio::time::timeout(timeout, self.head(body_limits))
            .await
            .map_err(|_| fault::Fault::Slow)?
    }

    async fn head(&mut self, body_limits: &BodyLimits) -> Result<BytesMut, fault::Fault> {
        let pending = body_limits.reserve(0)?;
        loop {
            if let Some(end) = head::length(&self.input)? {
                return Ok(self.take_head(end));
            }
            if !pending.try_cover(to_reserve(&self.input)) {
                return Err(fault::Fault::BufferFull);
            }
            self.fill().await?;
        }
    }

    /// Takes the head from the input buffer as a copy. The decoded headers refer to
    /// its bytes; without a copy they would keep the input buffer from being used
    /// again.
    fn take_head(&mut self, end: usize) -> BytesMut {
        let head = BytesMut::from(&self.input[..end]);
        self.input.advance(end);
        head
    }

    async fn body_with_timeout(
        &mut self,
        framing: framing::Framing,
        head_bytes: usize,
        body_limits: &BodyLimits,
    ) -> Result<body::Body, fault::Fault> {
        let body = self.body(framing, head_bytes, body_limits);
        if framing == framing::Framing::None {
            return body.await;
        }
        let body = monoio::time::timeout(limits::BODY_TIMEOUT, body).await;
        let body = body.unwrap_or(Err(fault::Fault::Slow));
        if body.is_err() {
            // What has arrived is no longer reserved, and the connection closes.
            self.input = BytesMut::new();
        }
        body
    }

    /// Reads the body of a message. The reservation covers its head too, as the decoded
    /// headers refer to it.
    async fn body(
        &mut self,
        framing: framing::Framing,
        head_bytes: usize,
        body_limits: &BodyLimits,
    ) -> Result<body::Body, fault::Fault> {
        let head_bytes = head_bytes.saturating_sub(UNRESERVED_BYTES);
        match framing {
            framing::Framing::None if head_bytes == 0 => Ok(body::Body::default()),
            framing::Framing::None => Ok(body::Body {
                reservation: body_limits.reserve(head_bytes)?,
                bytes: Bytes::new(),
            }),
            framing::Framing::Length(length) if length > body_limits.max_bytes => {
                Err(fault::Fault::BodyTooLarge)
            }
            framing::Framing::Length(length) => Ok(body::Body {
                reservation: body_limits.reserve(head_bytes + length)?,
                bytes: self.fixed(length).await?,
            }),
            framing::Framing::Chunked => self.chunked(head_bytes, body_limits).await,
            framing::Framing::UntilClose => self.until_close(head_bytes, body_limits).await,
        }
    }

    /// Reads a body of a known length.
    async fn fixed(&mut self, length: usize) -> Result<Bytes, fault::Fault> {
        if length > MAX_COPIED_BYTES {
            return self.large(length).await;
        }
        while self.input.len() < length {
            let missing = length - self.input.len();
            self.fill_body(missing).await?;
        }
        let body = Bytes::copy_from_slice(&self.input[..length]);
        self.input.advance(length);
        Ok(body)
    }

    /// Reads a body of a known length into an allocation of its own. If it shared that
    /// of the input buffer, an idle connection would keep both.
    async fn large(&mut self, length: usize) -> Result<Bytes, fault::Fault> {
        let mut body = Vec::with_capacity(length);
        let buffered = self.input.len().min(length);
        body.extend_from_slice(&self.input[..buffered]);
        self.input.advance(buffered);
        while body.len() < length {
            let start = body.len();
            let (read, slice) = self.stream.read(body.slice_mut(start..length)).await;
            body = slice.into_inner();
            match read {
                Ok(count @ 1..) => self.end_turn(count).await,
                _ => return Err(fault::Fault::Truncated),
            }
        }
        Ok(body.into())
    }

    /// Reads a body with the chunked transfer coding.
    async fn chunked(
        &mut self,
        head_bytes: usize,
        body_limits: &BodyLimits,
    ) -> Result<body::Body, fault::Fault> {
        let reservation = body_limits.reserve(head_bytes)?;
        let mut body = body::Buffer::new(body_limits.max_bytes, reservation);
        let mut decoder = decoder::ChunkedBodyDecoder::default();
        let pending = body_limits.reserve(0)?;
        loop {
            self.fill_chunk_size().await?;
            let chunk = self.chunk(&mut decoder, body.left(), &pending).await?;
            let Some(chunk) = chunk else {
                self.release_input();
                return Ok(body.finish());
            };
            body.extend(&chunk)?;
            self.end_turn(CHUNK_TURN_BYTES).await;
        }
    }

    /// Gives back the memory that large chunks took in the input buffer.
    fn release_input(&mut self) {
        self.input = BytesMut::from(&self.input[..]);
    }

    /// Reads a body that ends when the other side closes the connection. A reset is
    /// an error, as the body may be incomplete.
    async fn until_close(
        &mut self,
        head_bytes: usize,
        body_limits: &BodyLimits,
    ) -> Result<body::Body, fault::Fault> {
        let reservation = body_limits.reserve(head_bytes)?;
        let mut body = body::Buffer::new(body_limits.max_bytes, reservation);
        loop {
            body.extend(&self.input)?;
            self.input.clear();
            match self.read_some(MIN_READ_BYTES).await? {
                0 => return Ok(body.finish()),
                read => self.end_turn(read).await,
            }
        }
    }

    /// Reads until the digits of a chunk size are in the input buffer. The decoder parses
    /// them anew with each read and without a bound, and would take an empty size for
    /// the last chunk.
    async fn fill_chunk_size(&mut self) -> Result<(), fault::Fault> {
        loop {
            let mut bytes = self.input.iter().take(MAX_CHUNK_SIZE_DIGITS + 1);
            match bytes.position(|byte| !byte.is_ascii_hexdigit()) {
                Some(0) => return Err(fault::Fault::Malformed("chunk size")),
                Some(_) => return Ok(()),
                None if self.input.len() > MAX_CHUNK_SIZE_DIGITS => {
                    return Err(fault::Fault::Malformed("chunk size"));
                }
                None => self.fill_body(MIN_READ_BYTES).await?,
            }
        }
    }

    /// Decodes the next chunk; `None` after the last one. A chunk that is much larger
    /// than `max_bytes` is refused before all of it is in the input buffer. `pending`
    /// grows to what a large chunk takes there.
    async fn chunk(
        &mut self,
        decoder: &mut decoder::ChunkedBodyDecoder,
        max_bytes: usize,
        pending: &budget::Reservation,
    ) -> Result<Option<Bytes>, fault::Fault> {
        loop {
            match decoder.decode(&mut self.input) {
                Ok(Decoded::Some(chunk)) => return Ok(chunk),
                Ok(_) if self.input.len() > max_bytes + MIN_READ_BYTES => {
                    return Err(fault::Fault::BodyTooLarge);
                }
                Ok(_) if !pending.try_cover(to_reserve(&self.input)) => {
                    return Err(fault::Fault::BufferFull);
                }
                Ok(_) => self.fill_body(MIN_READ_BYTES).await?,
                Err(_) => return Err(fault::Fault::Malformed("chunk")),
            }
        }
    }

    /// Reads more bytes of a body, with room for `additional` ones. The end of the
    /// connection is [`fault::Fault::Truncated`].
    async fn fill_body(&mut self, additional: usize) -> Result<(), fault::Fault> {
        match self.read_some(additional.max(MIN_READ_BYTES)).await {
            Ok(0) | Err(_) => return Err(fault::Fault::Truncated),
            Ok(read) => self.end_turn(read).await,
        }
        Ok(())
    }

    /// Reads more bytes of a head, or the first bytes of a message. The end of the
    /// connection is [`fault::Fault::Closed`].
    async fn fill(&mut self) -> Result<(), fault::Fault> {
        match self.read_some(MIN_READ_BYTES).await {
            Ok(0) | Err(_) => Err(fault::Fault::Closed),
            Ok(_) => Ok(()),
        }
    }

    /// Does one read, which appends to the input buffer, and returns the number of
    /// bytes; 0 when the other side has closed the connection without a reset.
    async fn read_some(&mut self, additional: usize) -> Result<usize, fault::Fault> {
        let mut input = std::mem::take(&mut self.input);
        input.reserve(additional);
        let start = input.len();
        let end = input.capacity();
        let (read, slice) = self.stream.read(input.slice_mut(start..end)).await;
        self.input = slice.into_inner();
        read.map_err(|_| fault::Fault::Truncated)
    }

    /// Counts bytes of a body, and lets other tasks run from time to time: a read does not
    /// wait while the other side keeps sending.
    async fn end_turn(&mut self, read: usize) {
        self.turn += read;
        if self.turn >= TURN_BYTES {
            self.turn = 0;
            task::yield_now().await;
        }
    }

    async fn write(&mut self, bytes: Bytes) -> Result<(), fault::Fault> {
        self.stream.write_all(bytes).await.0?;
        Ok(())
    }
}

/// Memory to reserve for what is in an input buffer, which doubles when it grows.
fn to_reserve(input: &BytesMut) -> usize {
    (2 * input.len()).saturating_sub(UNRESERVED_BYTES)
}

/// Appends a small body to the output; returns a large one, to be sent without a copy.
fn rest_of_body(body: &Bytes, output: &mut BytesMut) -> Bytes {
    if body.len() > MAX_COPIED_BYTES {
        return body.clone();
    }
    output.extend_from_slice(body);
    Bytes::new()
}
