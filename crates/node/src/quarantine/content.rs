//! Identifies requests by digests of their content.

use http::{HeaderValue, header};
use masticarch_policy::quarantine::{fingerprint, suspect};

use crate::target::job;

/// Longest id of a request that is kept, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 128;

/// The request of a job as a suspect.
#[must_use]
pub fn suspect(job: &job::Job) -> suspect::Suspect {
    let entry = &job.entry;
    let end = entry.root.floor_char_boundary(MAX_REQUEST_ID_BYTES);
    suspect::Suspect {
        fingerprint: fingerprint(job),
        request: entry.root[..end].into(),
        service: entry.service.clone(),
        team: entry.team.clone(),
    }
}

/// The fingerprint of a request.
#[must_use]
pub fn fingerprint(job: &job::Job) -> fingerprint::Fingerprint {
    let body = digest(&blake3::hash(&job.request.body));
    fingerprint::Fingerprint {
        head: head(job),
        body,
    }
}

/// Digest of all parts of the content but the body.
#[must_use]
pub fn head(job: &job::Job) -> u128 {
    let (entry, request) = (&job.entry, &job.request);
    let host = request.headers.get(header::HOST);
    let host = host.map(HeaderValue::as_bytes).unwrap_or_default();
    let parts = [
        entry.service.as_bytes(),
        entry.team.as_deref().unwrap_or_default().as_bytes(),
        request.method.as_str().as_bytes(),
        &host.to_ascii_lowercase(),
        request.uri.path().as_bytes(),
        request.uri.query().unwrap_or_default().as_bytes(),
    ];
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    digest(&hasher.finalize())
}

/// The first half of a BLAKE3 hash.
fn digest(hash: &blake3::Hash) -> u128 {
    let mut first = [0; 16];
    first.copy_from_slice(&hash.as_bytes()[..16]);
    u128::from_le_bytes(first)
}
