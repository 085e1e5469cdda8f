//! Locates the program of the daemon.

use std::path::{Path, PathBuf};

use crate::error;

/// File name of the program.
pub const PROGRAM: &str = "masticarchd";
/// Environment variable with the path of the program.
pub const VARIABLE: &str = "MASTICARCHD";

/// Returns the path of the program: that in the environment variable, else in the
/// directory of the current program, else in the parent of that directory. The last
/// one serves test programs, which are built in the subdirectory `deps`.
///
/// # Errors
/// [`error::Error::NotFound`] when neither directory contains it.
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
