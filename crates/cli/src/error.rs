//! Errors of the tool and their exit codes.

use std::path::PathBuf;

use masticarch_model::{code, finding, version};
use quick_error::quick_error;

fn lines(findings: &[finding::Finding]) -> String {
    let lines: Vec<_> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n  ")
}

quick_error! {
    /// Why a command failed, and what to do next.
    #[derive(Debug)]
    pub enum Error {
        /// A file cannot be read.
        File(path: PathBuf, source: std::io::Error) {
            source(source)
            display("{}: {source}", path.display())
        }
        /// A file is not a valid document.
        Document(path: PathBuf, detail: String) {
            display("{}: {detail}", path.display())
        }
        /// A value is absent from the command line and the settings.
        Missing(what: &'static str) {
            display("{what} is not set; give it on the command line, in the environment or in the settings file")
        }
        /// No object has this kind and name.
        NoSuchObject(what: String) {
            display("{}: {what}; see 'masticarch list'", code::Code::NoSuchObject)
        }
        /// The change would make the configuration faulty.
        Faulty(findings: Vec<finding::Finding>) {
            display("the change is refused and nothing has changed:\n  {}", lines(findings))
        }
        /// The configuration has another version than expected.
        Conflict(present: version::Version) {
            display(
                "{}: the configuration has version {present}; look at 'masticarch diff' and apply again with --expect {present}",
                code::Code::VersionConflict
            )
        }
        /// No leading control process can be reached.
        Unreachable(detail: String) {
            display("{}: no leading control process can be reached ({detail}); check --control and 'masticarch status'", code::Code::NoQuorum)
        }
        /// The change may be in force.
        Unknown {
            display("{}: no answer in time; the change may be in force: look at 'masticarch history'", code::Code::TimeoutOutcomeUnknown)
        }
        /// The credential is not accepted.
        Credential {
            display("{}: the credential is not accepted; check --operator and --secret-file", code::Code::BadCredential)
        }
        /// The control process refuses the call.
        Refused(code: code::Code, detail: String) {
            display("{code}: {detail}")
        }
        /// The operating system reports an error.
        Io(source: std::io::Error) {
            from()
            source(source)
            display("{source}")
        }
    }
}

impl Error {
    /// The exit code of the process; the numbers are stable.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Faulty(_) | Self::Refused(..) => 3,
            Self::Conflict(_) => 4,
            Self::Unreachable(_) => 5,
            Self::Unknown => 6,
            Self::Credential => 7,
            _ => 1,
        }
    }
}
