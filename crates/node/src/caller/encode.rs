//! Encodes answers that do not come from a target.

use http::{HeaderValue, StatusCode, header};
use masticarch_model::{answer as kept, code};
use masticarch_wire::header as names;
use masticarch_wire::http::{answer, fields};
use serde::Serialize;

use crate::refusal;

#[derive(Serialize)]
struct Body<'a> {
    code: u16,
    reason: &'a str,
    ran: &'a str,
    detail: &'a str,
    request_id: &'a str,
}

/// A refusal as an answer with headers and a JSON body; `id` may be empty.
#[must_use]
pub fn refusal(refusal: &refusal::Refusal, id: &str) -> answer::Answer {
    let code = refusal.code;
    let body = Body {
        code: code.number(),
        reason: code.reason(),
        ran: refusal.ran.as_str(),
        detail: &refusal.detail,
        request_id: id,
    };
    let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    // Strings and numbers can always be encoded as JSON.
    let text = serde_json::to_vec(&body).unwrap_or_default();
    let mut answer = answer::Answer::new(status, text);
    let json = HeaderValue::from_static("application/json");
    answer.headers.insert(header::CONTENT_TYPE, json);
    describe(refusal, &mut answer);
    if !id.is_empty() {
        fields::set(&mut answer.headers, names::REQUEST_ID, id);
    }
    answer.keep_alive = code != code::Code::Draining;
    answer
}

/// Sets the headers that describe a refusal to callers and to other nodes.
pub fn describe(refusal: &refusal::Refusal, answer: &mut answer::Answer) {
    let headers = &mut answer.headers;
    fields::set_number(headers, names::CODE, refusal.code.number());
    fields::set(headers, names::REASON, refusal.code.reason());
    fields::set(headers, names::RAN, refusal.ran.as_str());
    if let Some(wait) = refusal.retry_after {
        // Whole seconds, rounded up, as the header has no finer unit.
        let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
}

/// The kept answer to a non-idempotent request, for a resend of it.
#[must_use]
pub fn kept(kept: &kept::Answer, id: &str) -> answer::Answer {
    let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::OK);
    let mut answer = answer::Answer::new(status, kept.body.to_vec());
    if let Some(kind) = &kept.content_type {
        fields::set(&mut answer.headers, "content-type", kind);
    }
    fields::set(&mut answer.headers, names::REQUEST_ID, id);
    answer
}
