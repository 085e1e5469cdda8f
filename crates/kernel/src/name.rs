//! Names of services.

use std::fmt;

/// The name under which a service is found within its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Name(&'static str);

impl Name {
    /// Makes a name from a literal.
    #[must_use]
    pub const fn new(text: &'static str) -> Self {
        Self(text)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.0)
    }
}
