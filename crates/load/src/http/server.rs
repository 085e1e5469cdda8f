//! HTTP/1.1 server that hands whole requests to a handler.

use std::future::Future;
use std::rc::Rc;

use bytes::Bytes;
use http::{Request, Response};
use masticarch_kernel::{name, stop, task};
use monoio::io::sink::Sink;
use monoio::io::stream::Stream;
use monoio::net::{TcpListener, TcpStream};
use monoio_http::common::body;
use monoio_http::h1::codec;
use monoio_http::h1::codec::decoder::FillPayload;

use crate::error;

/// Name of the tasks that serve connections.
const CONNECTION: name::Name = name::Name::new("connection");

/// Response type that the codec encodes.
type Outgoing = Response<body::HttpBody>;

/// Answers the requests of all connections of a server; each connection gets a
/// clone.
pub trait Handler: Clone + 'static {
    /// Answers one request; `None` closes the connection without an answer.
    fn handle(
        &self,
        request: Request<Bytes>,
    ) -> impl Future<Output = Option<Response<Bytes>>> + 'static;
}

/// Accepts connections until the service stops. Connections above
/// `max_connections` are closed as soon as they are accepted.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    max_connections: usize,
    handler: H,
    stop: stop::Stop,
) {
    let connections = Rc::new(());
    loop {
        let stream = monoio::select! {
            accepted = listener.accept() => accepted,
            () = stop.wait() => return,
        };
        let Ok((stream, _peer)) = stream else {
            continue;
        };
        if Rc::strong_count(&connections) > max_connections {
            continue;
        }
        let guard = connections.clone();
        let handler = handler.clone();
        let stop = stop.clone();
        task::spawn(CONNECTION, async move {
            let _ = serve_connection(stream, handler, stop).await;
            drop(guard);
        });
    }
}

/// Serves one connection until the client closes it, the handler returns `None`
/// or the service stops.
async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: H,
    stop: stop::Stop,
) -> Result<(), error::Error> {
    stream.set_nodelay(true)?;
    let mut codec = codec::ServerCodec::new(stream);
    loop {
        let next = monoio::select! {
            next = codec.next() => next,
            () = stop.wait() => None,
        };
        let Some(request) = next else {
            return Ok(());
        };
        let request =
            request.map_err(|_| error::Error::Http("the head of the request is not valid"))?;
        codec
            .fill_payload()
            .await
            .map_err(|_| error::Error::Http("the body of the request is not complete"))?;
        let (head, payload) = request.into_parts();
        let body = body::BodyExt::bytes(payload)
            .await
            .map_err(|_| error::Error::Http("the body of the request is not complete"))?;
        let Some(answer) = handler.handle(Request::from_parts(head, body)).await else {
            return Ok(());
        };
        let answer = answer.map(|body| body::HttpBody::Ready(Some(body)));
        Sink::send(&mut codec, answer)
            .await
            .map_err(|_| error::Error::Http("the answer cannot be sent"))?;
        Sink::<Outgoing>::flush(&mut codec)
            .await
            .map_err(|_| error::Error::Http("the answer cannot be sent"))?;
    }
}

/// An answer with a body and without further headers.
#[must_use]
pub fn answer(status: http::StatusCode, body: impl Into<Bytes>) -> Response<Bytes> {
    let mut answer = Response::new(body.into());
    *answer.status_mut() = status;
    answer
}
