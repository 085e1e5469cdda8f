//! Client side of an HTTP/1.1 connection.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use monoio::io::sink::Sink;
use monoio::io::stream::Stream;
use monoio::net::TcpStream;
use monoio_http::common::body;
use monoio_http::h1::codec;

use crate::error;

/// Request type that the codec encodes.
type Outgoing = Request<body::HttpBody>;

/// A keep-alive connection that carries one request at a time.
pub struct Connection {
    codec: codec::ClientCodec<TcpStream>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// [`error::Error::Io`] when the address cannot be reached.
    pub async fn open(address: SocketAddr) -> Result<Self, error::Error> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let codec = codec::ClientCodec::new(stream);
        Ok(Self { codec })
    }

    /// Sends a request and reads the whole answer. After an error the state of
    /// the connection is unknown, and it must be dropped.
    ///
    /// # Errors
    /// [`error::Error::Http`] when the request cannot be sent or the answer is not
    /// valid or not complete.
    pub async fn exchange(
        &mut self,
        request: Request<Bytes>,
    ) -> Result<Response<Bytes>, error::Error> {
        let request = request.map(|body| body::HttpBody::Ready(Some(body)));
        Sink::send(&mut self.codec, request)
            .await
            .map_err(|_| error::Error::Http("the request cannot be sent"))?;
        Sink::<Outgoing>::flush(&mut self.codec)
            .await
            .map_err(|_| error::Error::Http("the request cannot be sent"))?;
        let answer = self
            .codec
            .next()
            .await
            .ok_or(error::Error::Http(
                "the connection was closed before the answer",
            ))?
            .map_err(|_| error::Error::Http("the head of the answer is not valid"))?;
        let (head, payload) = answer.into_parts();
        let body = body::BodyExt::bytes(payload.with_io(&mut self.codec))
            .await
            .map_err(|_| error::Error::Http("the body of the answer is not complete"))?;
        Ok(Response::from_parts(head, body))
    }
}

/// Whether the connection stays open after this answer, because it lacks
/// `Connection: close`.
#[must_use]
pub fn is_reusable(answer: &Response<Bytes>) -> bool {
    answer
        .headers()
        .get(http::header::CONNECTION)
        .is_none_or(|value| !value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Sends one request on a new connection and reads the whole answer.
///
/// # Errors
/// As [`Connection::open`] and [`Connection::exchange`].
pub async fn exchange(
    address: SocketAddr,
    request: Request<Bytes>,
) -> Result<Response<Bytes>, error::Error> {
    Connection::open(address).await?.exchange(request).await
}
