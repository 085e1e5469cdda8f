//! Serves the requests of one accepted connection one after the other.

use std::time::Duration;

use futures::future::Either;
use http::Method;
use masticarch_kernel::stop;
use masticarch_wire::http::{answer, connection, fault, request};
use monoio::net::TcpStream;

use crate::{in_flight, race};

/// Longest time for writing an answer, whose reader may be slow.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Answers the requests of one connection.
pub trait Handler {
    /// Answers a request. The future is dropped when the other side closes the
    /// connection; dropping it must cancel the work on the request.
    fn answer(&mut self, request: request::Request) -> impl Future<Output = answer::Answer>;

    /// Answers a message that could not be read; the connection closes then.
    fn refuse(&mut self, fault: &fault::Fault) -> answer::Answer;
}

/// What the connections of a port share.
#[derive(Clone)]
pub struct Context {
    /// Limits for request bodies.
    pub body_limits: connection::BodyLimits,
    /// Counts the requests in flight.
    pub in_flight: in_flight::Counter,
    /// Set when the port is asked to stop.
    pub stop: stop::Stop,
}

/// Serves a connection until it closes, a message is faulty, or, while it is
/// idle, the service is asked to stop.
pub async fn run<H: Handler>(stream: TcpStream, mut handler: H, context: Context) {
    let Context {
        body_limits,
        in_flight,
        stop,
    } = context;
    let mut connection = connection::Connection::new(stream);
    loop {
        if !matches!(
            race::race(connection.ready(), stop.wait()).await,
            Either::Left(true)
        ) {
            return;
        }
        let request = match connection.receive(&body_limits).await {
            Ok(request) => request,
            Err(fault::Fault::Closed) => return,
            Err(fault) => {
                let mut answer = handler.refuse(&fault);
                answer.keep_alive = false;
                return reply_and_close(&mut connection, &answer).await;
            }
        };
        // Held until the answer is written, so that a shutdown waits for it.
        let _guard = in_flight.enter();
        if !serve(&mut connection, &mut handler, request, &body_limits, &stop).await {
            return;
        }
    }
}

/// Serves one request; `false` when the connection is to be closed.
async fn serve<H: Handler>(
    connection: &mut connection::Connection<TcpStream>,
    handler: &mut H,
    request: request::Request,
    body_limits: &connection::BodyLimits,
    stop: &stop::Stop,
) -> bool {
    let head_only = request.method == Method::HEAD;
    let keep_alive = request.keep_alive;
    // Boxed, so that an idle connection does not hold its memory.
    let answering = Box::pin(handler.answer(request));
    let Either::Left(mut answer) = race::race(answering, connection.closed(body_limits)).await
    else {
        return false;
    };
    answer.keep_alive &= keep_alive && !stop.is_set();
    let reply = monoio::time::timeout(WRITE_TIMEOUT, connection.reply(&answer, head_only));
    if !matches!(reply.await, Ok(Ok(()))) {
        return false;
    }
    if !answer.keep_alive {
        connection.finish().await;
    }
    answer.keep_alive
}

async fn reply_and_close(
    connection: &mut connection::Connection<TcpStream>,
    answer: &answer::Answer,
) {
    if connection.reply(answer, false).await.is_ok() {
        connection.finish().await;
    }
}
