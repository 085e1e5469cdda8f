//! Headers that a target sees.

use std::time::Instant;

use masticarch_wire::header;
use masticarch_wire::http::{fields, request};

use crate::admission::{entry, permit};

/// Replaces masticarch's headers in a request by those for the target.
pub fn write(request: &mut request::Request, entry: &entry::Entry, permit: &permit::Permit) {
    let headers = &mut request.headers;
    fields::strip_internal(headers);
    let remaining = entry.deadline.saturating_duration_since(Instant::now());
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    fields::set(headers, header::CONTEXT, &permit.context);
    fields::set(headers, header::REQUEST_ID, &entry.root);
    fields::set_number(headers, header::DEADLINE_MS, remaining_ms);
    fields::set_number(headers, header::PRIORITY, entry.rank);
    if let Some(team) = &entry.team {
        fields::set(headers, header::TEAM, team);
    }
}
