//! Classifies the reports of attempts: failures, retries and executions.

use masticarch_model::{code, ran};

use crate::gate::report;

/// First HTTP status that counts as a failure of the target.
const FIRST_SERVER_ERROR: u16 = 500;

/// Why an attempt failed; `None` when the target answered without an error of
/// its own.
pub fn failure(report: &report::Report) -> Option<code::Code> {
    let server_error = report
        .status
        .is_some_and(|status| status >= FIRST_SERVER_ERROR);
    report
        .failure
        .or_else(|| server_error.then_some(code::Code::TargetFailed))
}

/// Whether a failure is the target's own and counts towards its ejection.
/// Refusals by the node beside the target do not: they protect the target.
pub const fn is_target_fault(code: code::Code) -> bool {
    matches!(
        code,
        code::Code::TargetFailed | code::Code::TargetTimeout | code::Code::AnswerTruncated
    )
}

/// Whether another target may do better.
pub const fn is_retryable(code: code::Code) -> bool {
    let refused = matches!(
        code,
        code::Code::Overloaded
            | code::Code::DeadlineExceeded
            | code::Code::Draining
            | code::Code::NoTarget
            | code::Code::BufferFull
            | code::Code::TargetEjected
            | code::Code::TargetRefused
    );
    refused || is_target_fault(code)
}

/// Whether an attempt reached its target, which may have refused it.
pub fn has_arrived(report: &report::Report) -> bool {
    report.ran != ran::Ran::No || report.failure == Some(code::Code::TargetRefused)
}

/// Executions in the call tree of an attempt: 0 when it is known not to have run,
/// `None` when their number is unknown.
pub const fn executions(report: &report::Report) -> Option<u32> {
    match report.ran {
        ran::Ran::No => Some(0),
        ran::Ran::Yes | ran::Ran::Unknown => report.executions,
    }
}
