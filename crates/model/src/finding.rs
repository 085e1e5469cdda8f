//! Faults that a check of the configuration finds.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{code, kind, name};

/// A fault that a check of the configuration found, with the object and field at
/// fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Result code for this sort of fault.
    pub code: code::Code,
    /// Kind of the object.
    pub kind: kind::Kind,
    /// Name of the object.
    pub name: name::Name,
    /// Field at fault, as written in documents.
    pub field: Box<str>,
    /// Explanation for the operator: the value at fault and what is allowed.
    pub detail: Box<str>,
}

impl Finding {
    /// Memory that it takes, in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        size_of::<Self>() + self.name.len() + self.field.len() + self.detail.len()
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            code,
            kind,
            name,
            field,
            detail,
        } = self;
        write!(formatter, "{code}: {kind} {name}, field {field}: {detail}")
    }
}
