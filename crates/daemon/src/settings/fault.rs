//! One fault of a settings file.

use std::fmt;
use std::path::PathBuf;

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file.
    pub file: PathBuf,
    /// Line, starting at 1; none when a field is missing.
    pub line: Option<u64>,
    /// The field.
    pub field: String,
    /// What is wrong and what is allowed.
    pub detail: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.file.display())?;
        if let Some(line) = self.line {
            write!(formatter, ":{line}")?;
        }
        write!(formatter, ": {}: {}", self.field, self.detail)
    }
}
