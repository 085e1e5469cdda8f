//! Lines of the quarantine in the log.

use masticarch_policy::quarantine::{evidence, fingerprint, record, suspect};

use super::crash;

/// Most suspects that the line about a crash names.
const MAX_SUSPECTS: usize = 16;

/// Reports a crash and the requests that it is attributed to.
pub fn crashed(crash: &crash::Crash, causes: &[fingerprint::Fingerprint]) {
    let describe = |suspect: &suspect::Suspect| {
        let team = suspect.team.as_deref().unwrap_or("-");
        format!("{}/{}/{team}", suspect.fingerprint, suspect.request)
    };
    let suspects = crash.suspects.iter();
    let suspects = suspects.filter(|suspect| causes.contains(&suspect.fingerprint));
    let suspects: Vec<_> = suspects.take(MAX_SUSPECTS).map(describe).collect();
    tracing::warn!(
        service = %crash.service,
        run = crash.run.as_deref(),
        running = crash.suspects.len(),
        suspects = suspects.join(" "),
        "target crashed while it ran requests"
    );
}

/// Reports that a request is quarantined; `source` says who has found out.
pub fn quarantined(
    fingerprint: fingerprint::Fingerprint,
    record: &record::Record,
    source: &'static str,
) {
    let join = |field: fn(&evidence::Evidence) -> &str| {
        let fields: Vec<_> = record.open_evidence().map(field).collect();
        fields.join(" ")
    };
    tracing::warn!(
        %fingerprint,
        service = %record.service,
        source,
        requests = join(|evidence| &evidence.request),
        targets = join(|evidence| &evidence.target),
        "request quarantined"
    );
}

/// Reports that a request has completed after its quarantine.
pub fn released(fingerprint: fingerprint::Fingerprint) {
    tracing::info!(%fingerprint, "request completed, its quarantine ends");
}
