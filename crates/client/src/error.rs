//! Errors of an operator's call.

use masticarch_model::{code, finding, version};
use quick_error::quick_error;

fn lines(findings: &[finding::Finding]) -> String {
    let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n  ")
}

quick_error! {
    /// Why a call failed; the text says what to do next.
    #[derive(Debug)]
    pub enum Error {
        /// The change would make the configuration invalid.
        Faulty(findings: Vec<finding::Finding>) {
            display("the change is refused and nothing has changed:\n  {}", lines(findings))
        }
        /// The version of the configuration is not the expected one.
        Conflict(current: version::Version) {
            display(
                "{}: the configuration has version {current}; check 'masticarch diff' and apply again with --expect {current}",
                code::Code::VersionConflict
            )
        }
        /// No leading control process can be reached, or the reply was not of the
        /// expected kind.
        Unreachable(detail: String) {
            display(
                "{}: no leading control process can be reached ({detail}); check --control and 'masticarch status'",
                code::Code::NoQuorum
            )
        }
        /// No reply arrived in time; the change may have been applied.
        OutcomeUnknown {
            display(
                "{}: no reply in time; the change may have been applied: check 'masticarch history'",
                code::Code::TimeoutOutcomeUnknown
            )
        }
        /// The credential is not accepted.
        Credential {
            display(
                "{}: the credential is not accepted; check --operator and --secret-file",
                code::Code::BadCredential
            )
        }
        /// The control process refuses the call.
        Refused(code: code::Code, detail: Box<str>) {
            display("{code}: {detail}")
        }
        /// The operating system provides no random numbers.
        Random {
            display("the operating system provides no random numbers")
        }
    }
}
