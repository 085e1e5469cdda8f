//! Changes that operators make to the configuration.

use serde::{Deserialize, Serialize};

use crate::{document, edit, name, version};

/// A change to the configuration, as an operator sends it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Random id chosen by the sender; a resend with the same id gets the first
    /// result.
    pub id: u128,
    /// Configuration version that the change is based on; 0 when there must be no
    /// configuration yet. Not compared when there is a `document`.
    pub expected: version::Version,
    /// Name of the operator's credential.
    pub operator: name::Name,
    /// Edits, which are checked together and applied all or none.
    pub edits: Vec<edit::Edit>,
    /// The document that the edits were made from, if any. Its numbers are compared
    /// instead of `expected`.
    pub document: Option<document::Document>,
}
