//! Where the daemon's program is.

use std::path::{Path, PathBuf};

use crate::error;

/// Name of the program.
pub const PROGRAM: &str = "masticarchd";
/// Environment variable that names its path.
pub const VARIABLE: &str = "MASTICARCHD";

/// Finds the program: the one named by the environment, else the one beside the
/// current program, or beside the directory `deps` of a test program.
///
/// # Errors
/// [`error::Error::NotFound`] when it is in none of these places.
pub fn locate() -> Result<PathBuf, error::Error> {
    if let Some(path) = std::env::var_os(VARIABLE) {
        return Ok(path.into());
    }
    let own = std::env::current_exe()?;
    own.ancestors()
        .skip(1)
        .take(2)
        .map(|directory: &Path| directory.join(PROGRAM))
        .find(|path| path.is_file())
        .ok_or_else(|| error::Error::NotFound(PROGRAM.into()))
}
