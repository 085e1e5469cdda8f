//! Changes by operators.

use serde::{Deserialize, Serialize};

use crate::{document, edit, name, version};

/// A change to the configuration, as an operator sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Id drawn by the sender; a resend with the same id gets the first result.
    pub id: u128,
    /// Configuration version that the operator saw; 0 when none may exist.
    pub expected: version::Version,
    /// Name of the operator credential.
    pub operator: name::Name,
    /// Steps, applied and checked together.
    pub edits: Vec<edit::Edit>,
    /// The document that the edits were made from. Its numbers are compared
    /// in place of `expected`.
    pub document: Option<document::Document>,
}
