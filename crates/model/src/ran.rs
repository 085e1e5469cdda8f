//! Whether a request was executed, as the `masticarch-ran` header tells.

use std::fmt;

/// Whether a target executed a request that failed or was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Ran {
    /// No target executed the request; a resend is safe.
    No,
    /// A target executed the request.
    Yes,
    /// It cannot be known whether a target executed the request.
    Unknown,
}

impl Ran {
    /// The value of the `masticarch-ran` header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Yes => "yes",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Ran {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
