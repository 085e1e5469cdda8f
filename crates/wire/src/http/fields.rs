//! Reads, sets and removes header fields.

use std::time::Duration;

use http::header::{self, HeaderName};
use http::{HeaderMap, HeaderValue};

use crate::header as names;

/// Headers that concern one connection only, RFC 9110 section 7.6.1.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes the headers that concern one connection only, those that the
/// `connection` header names, and `content-length`, which the encoder adds again.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    if headers.contains_key(header::CONNECTION) {
        for name in named_by_connection(headers) {
            headers.remove(name);
        }
    }
    for name in &HOP_BY_HOP {
        headers.remove(name);
    }
    headers.remove("proxy-connection");
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
}

/// Removes every header with masticarch's prefix.
pub fn strip_internal(headers: &mut HeaderMap) {
    let found: Vec<HeaderName> = headers
        .keys()
        .filter(|name| name.as_str().starts_with(names::PREFIX))
        .cloned()
        .collect();
    for name in found {
        headers.remove(name);
    }
}

/// The value of a header; `None` when it is absent or has bytes other than visible
/// ASCII characters, spaces and tabs.
#[must_use]
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// The token in an `authorization` header with the scheme `Bearer`.
#[must_use]
pub fn bearer(headers: &HeaderMap) -> Option<&str> {
    let (scheme, token) = text(headers, header::AUTHORIZATION.as_str())?.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case("bearer")
        .then_some(token.trim())
}

/// The host of a request in lower case, without its port.
#[must_use]
pub fn host(headers: &HeaderMap) -> Option<Box<str>> {
    let text = text(headers, header::HOST.as_str())?;
    let host = match text.rsplit_once(':') {
        Some((host, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => host,
        _ => text,
    };
    Some(host.to_ascii_lowercase().into())
}

/// Time for which the sender keeps an idle connection open, the `timeout` parameter
/// of its `keep-alive` header.
#[must_use]
pub fn idle_limit(headers: &HeaderMap) -> Option<Duration> {
    let parameters = text(headers, "keep-alive")?.split(',');
    let mut seconds = parameters.filter_map(|one| one.trim().strip_prefix("timeout="));
    seconds.next()?.parse().ok().map(Duration::from_secs)
}

/// The value of a header as a number; `None` when it is absent or not a number.
#[must_use]
pub fn number<T: std::str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    text(headers, name)?.parse().ok()
}

/// Sets a header. The header stays as it is when the text is not allowed in one.
pub fn set(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Sets a header to a number.
pub fn set_number(headers: &mut HeaderMap, name: &'static str, value: impl Into<u64>) {
    headers.insert(
        HeaderName::from_static(name),
        HeaderValue::from(value.into()),
    );
}

fn named_by_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}
