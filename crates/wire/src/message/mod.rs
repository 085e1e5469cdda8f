//! Payloads of the calls between masticarch's processes, encoded with postcard.

pub mod claim;
pub mod lease;
pub mod ledger;
pub mod operator;
pub mod quarantine;
pub mod status;
pub mod sync;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error;

/// Encodes a payload.
///
/// # Panics
/// Does not panic for the types of this module, whose encoding cannot fail.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).expect("every payload type can be encoded")
}

/// Decodes a payload.
///
/// # Errors
/// [`error::Error::Decode`] when the bytes are not an encoding of `T`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, error::Error> {
    Ok(postcard::from_bytes(bytes)?)
}
