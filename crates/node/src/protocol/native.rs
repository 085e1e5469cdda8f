//! The native protocol: plain HTTP with masticarch's own headers.

use std::time::Duration;

use http::{HeaderMap, header};
use masticarch_model::code;
use masticarch_policy::limit::adaptive;
use masticarch_wire::header as names;
use masticarch_wire::http::{answer, fields, request};

use super::{Protocol, class, delivery, metadata, notice};
use crate::admission::message as admission;
use crate::caller::encode;
use crate::gate::request as gate;
use crate::{origin, refusal, services};

/// Longest id that is accepted from a caller. Ids are kept in memory and in the
/// replicated log.
const MAX_ID_BYTES: usize = 128;

/// The native protocol.
#[derive(Debug)]
pub struct Native;

impl Protocol for Native {
    type Limiter = adaptive::Adaptive;

    async fn read(
        services: &services::Services,
        request: &mut request::Request,
    ) -> Result<metadata::Metadata, refusal::Refusal> {
        read(services, request).await
    }

    fn refuse(refusal: &refusal::Refusal, id: &str) -> answer::Answer {
        encode::refusal(refusal, id)
    }

    fn complete(answer: &mut answer::Answer, id: &str) {
        fields::set(&mut answer.headers, names::REQUEST_ID, id);
    }

    fn set_target_headers(request: &mut request::Request, delivery: &delivery::Delivery<'_>) {
        let headers = &mut request.headers;
        let entry = delivery.entry;
        fields::set(headers, names::CONTEXT, &delivery.permit.context);
        fields::set(headers, names::REQUEST_ID, &entry.root);
        fields::set_number(headers, names::DEADLINE_MS, entry.remaining_ms());
        fields::set_number(headers, names::PRIORITY, entry.rank);
        if let Some(team) = &entry.team {
            fields::set(headers, names::TEAM, team);
        }
    }

    fn classify(request: &request::Request, answer: &answer::Answer, _: bool) -> class::Class {
        let echoed = answer.headers.get(names::CONTEXT);
        if echoed.is_some() && echoed != request.headers.get(names::CONTEXT) {
            class::Class::Mismatched
        } else {
            class::Class::Ran
        }
    }

    fn notice(answer: &answer::Answer) -> notice::Notice {
        let rate_limit = fields::text(&answer.headers, names::RATE_LIMIT);
        notice::Notice {
            rate_limit: notice::RateLimit::read(rate_limit),
            leaving: fields::text(&answer.headers, names::LEAVING) == Some("1"),
        }
    }
}

async fn read(
    services: &services::Services,
    request: &mut request::Request,
) -> Result<metadata::Metadata, refusal::Refusal> {
    if has_dot_segment(request.uri.path()) {
        return Err(refusal::Refusal::new(
            code::Code::BadRequest,
            "a path may not contain dot segments",
        ));
    }
    let origin = origin(services, &request.headers).await?;
    let headers = &request.headers;
    let remaining: Option<u64> = fields::number(headers, names::DEADLINE_MS);
    let id = id_header(headers, names::REQUEST_ID)?;
    let metadata = metadata::Metadata {
        idempotency_key: id_header(headers, names::IDEMPOTENCY_KEY)?,
        request: gate::Request {
            origin,
            host: fields::host(headers),
            path: request.uri.path().into(),
            has_stable_id: id.is_some(),
            id,
            priority: fields::text(headers, names::PRIORITY).map(Into::into),
            remaining: remaining.map(Duration::from_millis),
        },
    };
    strip(&mut request.headers);
    Ok(metadata)
}

async fn origin(
    services: &services::Services,
    headers: &HeaderMap,
) -> Result<origin::Origin, refusal::Refusal> {
    let Some(context) = fields::text(headers, names::CONTEXT) else {
        return Ok(origin::Origin::Caller(
            presented_key(headers).map(Into::into),
        ));
    };
    let begin = |reply| admission::Message::BeginSubCall(context.into(), reply);
    match services.admission.ask(begin).await {
        Ok(Some(parent)) => Ok(origin::Origin::SubCall(parent)),
        _ => Err(refusal::Refusal::new(
            code::Code::BadContext,
            "no running call on this node has this context",
        )),
    }
}

/// Whether the path contains `.` or `..` segments, which a target may resolve to a
/// path that belongs to another route with other access rights.
fn has_dot_segment(path: &str) -> bool {
    path.split('/').any(|segment| {
        let plain = segment.to_ascii_lowercase().replace("%2e", ".");
        plain == "." || plain == ".."
    })
}

fn presented_key(headers: &HeaderMap) -> Option<&str> {
    fields::text(headers, names::KEY).or_else(|| fields::bearer(headers))
}

fn id_header(headers: &HeaderMap, name: &str) -> Result<Option<Box<str>>, refusal::Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value
        .to_str()
        .ok()
        .filter(|text| (1..=MAX_ID_BYTES).contains(&text.len()))
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
    if fields::bearer(headers).is_some() {
        headers.remove(header::AUTHORIZATION);
    }
    fields::strip_internal(headers);
}
