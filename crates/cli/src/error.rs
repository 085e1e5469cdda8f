//! Errors of the tool and their exit codes.

use std::path::PathBuf;

use masticarch_client::error as client_error;
use masticarch_model::code;
use quick_error::quick_error;

quick_error! {
    /// Why a command failed; most texts say what to do next.
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
        /// A value is absent from the command line, the environment and the settings
        /// file; `what` is its flag.
        Missing(what: &'static str) {
            display("{what} is not set; give it on the command line, in the environment or in the settings file")
        }
        /// No object has this kind and name.
        NoSuchObject(what: String) {
            display("{}: {what}; see 'masticarch list'", code::Code::NoSuchObject)
        }
        /// The control group refused the call, or could not be reached.
        Call(source: client_error::Error) {
            from()
            source(source)
            display("{source}")
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
    /// The exit code of the process. Scripts rely on the numbers; they never
    /// change.
    #[must_use]
    pub const fn exit_code(&self) -> u8 {
        match self {
            Self::Call(client_error::Error::Faulty(_) | client_error::Error::Refused(..)) => 3,
            Self::Call(client_error::Error::Conflict(_)) => 4,
            Self::Call(client_error::Error::Unreachable(_)) => 5,
            Self::Call(client_error::Error::OutcomeUnknown) => 6,
            Self::Call(client_error::Error::Credential) => 7,
            _ => 1,
        }
    }
}
