//! Faults of settings files.

use std::fmt;
use std::path::PathBuf;

/// A field that is missing, unknown or has a value that is not valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the settings file.
    pub file: PathBuf,
    /// Line, starting at 1; `None` when the field is missing or the check that found
    /// the fault does not know the line.
    pub line: Option<u64>,
    /// Name of the field.
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
