//! Reads what masticarch needs from a caller's request.

use std::time::Duration;

use http::{HeaderMap, header};
use masticarch_model::code;
use masticarch_wire::header as names;
use masticarch_wire::http::{fields, request};

use crate::admission::message as admission;
use crate::gate::request as gate;
use crate::{origin, refusal, services};

/// Longest id that is taken from a caller, in bytes. Ids are kept in memory and
/// in the replicated log.
const ID_BYTES: usize = 128;

/// What masticarch reads from a caller's request.
#[derive(Debug)]
pub struct Intake {
    /// What the gate decides on.
    pub request: gate::Request,
    /// The caller's idempotency key.
    pub idempotency_key: Option<Box<str>>,
}

/// Reads a request and removes the headers that no target may see.
///
/// # Errors
/// A refusal when an id is unusable or the context is unknown.
pub async fn read(
    services: &services::Services,
    request: &mut request::Request,
) -> Result<Intake, refusal::Refusal> {
    if has_dot_segment(request.uri.path()) {
        return Err(refusal::Refusal::new(
            code::Code::BadRequest,
            "a path may not contain dot segments",
        ));
    }
    let origin = origin(services, &request.headers).await?;
    let headers = &request.headers;
    let remaining: Option<u64> = fields::number(headers, names::DEADLINE_MS);
    let intake = Intake {
        idempotency_key: id(headers, names::IDEMPOTENCY_KEY)?,
        request: gate::Request {
            origin,
            path: request.uri.path().into(),
            id: id(headers, names::REQUEST_ID)?,
            priority: fields::text(headers, names::PRIORITY).map(Into::into),
            remaining: remaining.map(Duration::from_millis),
        },
    };
    strip(&mut request.headers);
    Ok(intake)
}

async fn origin(
    services: &services::Services,
    headers: &HeaderMap,
) -> Result<origin::Origin, refusal::Refusal> {
    let Some(context) = fields::text(headers, names::CONTEXT) else {
        return Ok(origin::Origin::Caller(key(headers).map(Into::into)));
    };
    let lend = |slot| admission::Message::Lend(context.into(), slot);
    match services.admission.ask(lend).await {
        Ok(Some(loan)) => Ok(origin::Origin::SubCall(loan)),
        _ => Err(refusal::Refusal::new(
            code::Code::BadContext,
            "no running call on this node has this context",
        )),
    }
}

/// Whether a target may resolve the path to another one, which another route
/// with other rights leads to.
fn has_dot_segment(path: &str) -> bool {
    path.split('/').any(|segment| {
        let plain = segment.to_ascii_lowercase().replace("%2e", ".");
        plain == "." || plain == ".."
    })
}

fn key(headers: &HeaderMap) -> Option<&str> {
    fields::text(headers, names::KEY).or_else(|| bearer(headers))
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let (scheme, token) = fields::text(headers, "authorization")?.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then_some(token.trim())
}

fn id(headers: &HeaderMap, name: &str) -> Result<Option<Box<str>>, refusal::Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value
        .to_str()
        .ok()
        .filter(|text| (1..=ID_BYTES).contains(&text.len()))
        .map(|text| Some(text.into()))
        .ok_or_else(|| {
            refusal::Refusal::new(
                code::Code::BadRequest,
                "an id must be 1 to 128 visible characters",
            )
        })
}

fn strip(headers: &mut HeaderMap) {
    fields::strip_hop_by_hop(headers);
    // The bearer token may be a key, and no target may see one.
    if bearer(headers).is_some() {
        headers.remove(header::AUTHORIZATION);
    }
    fields::strip_internal(headers);
}
