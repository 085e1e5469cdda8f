//! Why an operator's call failed, and what to do next.

use masticarch_model::{code, finding, version};
use quick_error::quick_error;

fn lines(findings: &[finding::Finding]) -> String {
    let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n  ")
}

quick_error! {
    /// Why a call failed, and what to do next.
    #[derive(Debug)]
    pub enum Error {
        /// The change would make the configuration faulty.
        Faulty(findings: Vec<finding::Finding>) {
            display("the change is refused and nothing has changed:\n  {}", lines(findings))
        }
        /// The configuration has another version than expected.
        Conflict(current: version::Version) {
            display(
                "{}: the configuration has version {current}; look at 'masticarch diff' and apply again with --expect {current}",
                code::Code::VersionConflict
            )
        }
        /// No leading control process can be reached.
        Unreachable(detail: String) {
            display(
                "{}: no leading control process can be reached ({detail}); check --control and 'masticarch status'",
                code::Code::NoQuorum
            )
        }
        /// The change may be in force.
        OutcomeUnknown {
            display(
                "{}: no answer in time; the change may be in force: look at 'masticarch history'",
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
        /// The operating system has no random numbers.
        Random {
            display("the operating system has no random numbers")
        }
    }
}
