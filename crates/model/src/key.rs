//! API keys of callers.

use serde::{Deserialize, Serialize};
use serde_with::{hex, serde_as};

use crate::name;

/// An API key as it is stored: its public id and the hash of its secret.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name of the key.
    pub name: name::Name,
    /// Team whose limit and weight count for requests with this key.
    pub team: name::Name,
    /// Public id, 8 bytes as 16 hexadecimal digits.
    #[serde_as(as = "hex::Hex")]
    pub id: [u8; 8],
    /// BLAKE3 hash of the secret, 32 bytes as hexadecimal digits.
    #[serde_as(as = "hex::Hex")]
    pub hash: [u8; 32],
    /// Whether requests with the key are refused. A withdrawn key is kept, so that
    /// the refusal can name it.
    #[serde(default)]
    pub withdrawn: bool,
}
