//! Keys that callers present.

use serde::{Deserialize, Serialize};
use serde_with::{hex, serde_as};

use crate::name;

/// A caller's key, as stored: its public id and the hash of its secret.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Key {
    /// Name of the key.
    pub name: name::Name,
    /// Team for which requests with this key run.
    pub team: name::Name,
    /// Public id, 8 bytes as 16 hexadecimal digits.
    #[serde_as(as = "hex::Hex")]
    pub id: [u8; 8],
    /// BLAKE3 hash of the secret, 32 bytes as hexadecimal digits.
    #[serde_as(as = "hex::Hex")]
    pub hash: [u8; 32],
    /// A withdrawn key is kept so that its use is refused by name.
    #[serde(default)]
    pub withdrawn: bool,
}
