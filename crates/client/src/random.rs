//! Random ids and keys.

use masticarch_model::secret;

use crate::error;

/// Random bytes from the operating system.
///
/// # Errors
/// [`error::Error::Random`] when the operating system provides none.
pub fn bytes<const N: usize>() -> Result<[u8; N], error::Error> {
    let mut bytes = [0; N];
    getrandom::fill(&mut bytes).map_err(|_| error::Error::Random)?;
    Ok(bytes)
}

/// A random key for callers.
///
/// # Errors
/// [`error::Error::Random`].
pub fn key() -> Result<secret::Secret, error::Error> {
    Ok(secret::Secret::new(bytes()?, bytes()?))
}
