//! Names of objects, nodes, services, regions and failure domains.

use std::fmt;
use std::ops::Deref;

use serde::{Deserialize, Serialize};

/// Longest name, in bytes; the same as for a DNS label.
pub const MAX_BYTES: usize = 63;

/// The name of an object, node, service, region or failure domain.
///
/// Deserialising does not check the text, so that [`crate::check`] can report all
/// bad names of a document at once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Name(Box<str>);

impl Name {
    /// Makes a name without checking the text; see [`Self::is_valid`].
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// The text of the name.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether the name is 1 to 63 characters of `a-z`, `0-9` and `-`.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
        (1..=MAX_BYTES).contains(&self.0.len()) && self.0.bytes().all(allowed)
    }
}

impl Deref for Name {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self::new(text)
    }
}

impl fmt::Display for Name {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}
