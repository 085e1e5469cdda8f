//! Settings files and the files that they name.

use std::fs;
use std::path::{Path, PathBuf};

use masticarch_model::name;
use masticarch_wire::handshake;

use crate::error;

/// Minimum length of a secret, in bytes of UTF-8 text.
const MIN_SECRET_BYTES: usize = 16;

/// Reads a text file.
///
/// # Errors
/// [`error::Error::File`] when it cannot be read.
pub fn read(path: &Path) -> Result<String, error::Error> {
    fs::read_to_string(path).map_err(|source| error::Error::File(path.into(), source))
}

/// A path that a settings file names; a relative one starts at the directory of the
/// settings file.
#[must_use]
pub fn resolve(settings: &Path, path: &Path) -> PathBuf {
    settings
        .parent()
        .map_or_else(|| path.to_path_buf(), |folder| folder.join(path))
}

/// Derives a credential from a file that holds a secret; white space around the
/// secret is ignored.
///
/// # Errors
/// What is wrong, as text that does not contain the secret.
pub fn credential(name: name::Name, path: &Path) -> Result<handshake::Credential, String> {
    let text = read(path).map_err(|error| error.to_string())?;
    let secret = text.trim();
    if secret.len() < MIN_SECRET_BYTES {
        return Err(format!(
            "{}: a secret has at least {MIN_SECRET_BYTES} bytes",
            path.display()
        ));
    }
    Ok(handshake::Credential::new(name, secret))
}
