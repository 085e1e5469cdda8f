//! Sends one attempt of a request and classifies its answer.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response};
use masticarch_wire::header;

use super::{record, team};
use crate::error;
use crate::http::connection;

/// Header with the entry address to which an attempt is sent; stand-ins record it.
pub const ENTRY: &str = "x-entry";

/// Result of an attempt.
pub struct Completion {
    /// How the attempt ended.
    pub outcome: record::Outcome,
    /// The connection, if it can carry another request.
    pub connection: Option<connection::Connection>,
}

/// Builds the request with the given id. All attempts of a request are equal.
///
/// # Errors
/// [`error::Error::Parse`] when the path or a header value is not valid in HTTP.
pub fn request(team: &team::Team, id: &str) -> Result<Request<Bytes>, error::Error> {
    let content = if team.copies { &team.name } else { id };
    let body = body(content, team.body_bytes);
    let mut builder = Request::post(&team.path).header(http::header::HOST, "masticarch");
    let optional = [
        (header::KEY, team.key.clone()),
        (header::PRIORITY, team.priority.clone()),
        (header::REQUEST_ID, team.request_id.then(|| id.to_owned())),
        (
            header::IDEMPOTENCY_KEY,
            team.idempotency_key.then(|| id.to_owned()),
        ),
        (
            header::DEADLINE_MS,
            team.deadline_ms
                .map(|milliseconds| milliseconds.to_string()),
        ),
    ];
    for (name, value) in optional {
        if let Some(value) = value {
            builder = builder.header(name, value);
        }
    }
    builder
        .body(body)
        .map_err(|failure| error::Error::Parse(failure.to_string()))
}

/// A body that differs between requests that are no copies, so that an answer to another
/// request is detected. It starts with the given text and is padded to the given length.
fn body(text: &str, bytes: usize) -> Bytes {
    let mut body = text.as_bytes().to_vec();
    body.resize(bytes.max(body.len()), b'.');
    body.into()
}

/// Sends a request on the idle connection, or on a new one if there is none, and
/// waits for the answer up to the timeout.
pub async fn run(
    address: SocketAddr,
    idle: Option<connection::Connection>,
    mut request: Request<Bytes>,
    timeout: Duration,
) -> Completion {
    if let Ok(entry) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(ENTRY, entry);
    }
    let exchange = exchange(address, idle, request);
    monoio::time::timeout(timeout, exchange)
        .await
        .unwrap_or(Completion {
            outcome: record::Outcome::TimedOut,
            connection: None,
        })
}

async fn exchange(
    address: SocketAddr,
    idle: Option<connection::Connection>,
    request: Request<Bytes>,
) -> Completion {
    let mut connection = match idle {
        Some(connection) => connection,
        None => match connection::Connection::open(address).await {
            Ok(connection) => connection,
            Err(_) => return failed(record::Outcome::Unreachable),
        },
    };
    let expected = request.body().clone();
    match connection.exchange(request).await {
        Ok(answer) => Completion {
            outcome: classify(&answer, &expected),
            connection: connection::is_reusable(&answer).then_some(connection),
        },
        Err(_) => failed(record::Outcome::Disconnected),
    }
}

const fn failed(outcome: record::Outcome) -> Completion {
    Completion {
        outcome,
        connection: None,
    }
}

/// Classifies an answer. The body of a successful answer must equal the body of
/// the request.
fn classify(answer: &Response<Bytes>, expected: &Bytes) -> record::Outcome {
    if answer.status().is_success() && answer.body() != expected {
        return record::Outcome::Mismatched;
    }
    record::Outcome::Answered {
        status: answer.status().as_u16(),
        code: header_text(answer.headers(), header::CODE).and_then(|code| code.parse().ok()),
        ran: header_text(answer.headers(), header::RAN).and_then(parse_ran),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn parse_ran(text: &str) -> Option<record::Ran> {
    match text {
        "no" => Some(record::Ran::No),
        "yes" => Some(record::Ran::Yes),
        "unknown" => Some(record::Ran::Unknown),
        _ => None,
    }
}
