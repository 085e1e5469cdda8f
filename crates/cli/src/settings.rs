//! How the tool reaches the fleet.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use masticarch_wire::handshake;
use serde::Deserialize;

use crate::{arguments, error};

/// The settings file of the tool.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Stored {
    control: Vec<SocketAddr>,
    operator: Option<String>,
    secret_file: Option<PathBuf>,
}

/// Where the control processes are and who the operator is.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Operator ports of the control processes.
    pub control: Vec<SocketAddr>,
    /// The operator's credential.
    pub credential: handshake::Credential,
    /// Longest time for the whole command.
    pub timeout: Duration,
}

fn read(path: &Path) -> Result<String, error::Error> {
    fs::read_to_string(path).map_err(|source| error::Error::File(path.into(), source))
}

impl Settings {
    /// Joins the command line with the settings file.
    ///
    /// # Errors
    /// [`error::Error::Missing`], [`error::Error::File`] or
    /// [`error::Error::Document`].
    pub fn new(arguments: &arguments::Connection) -> Result<Self, error::Error> {
        let file = match &arguments.settings {
            Some(path) => Self::file(path)?,
            None => Stored::default(),
        };
        let control = if arguments.control.is_empty() {
            file.control
        } else {
            arguments.control.clone()
        };
        if control.is_empty() {
            return Err(error::Error::Missing("--control"));
        }
        let operator = arguments
            .operator
            .clone()
            .or(file.operator)
            .ok_or(error::Error::Missing("--operator"))?;
        let secret_file = arguments
            .secret_file
            .clone()
            .or(file.secret_file)
            .ok_or(error::Error::Missing("--secret-file"))?;
        let secret = read(&secret_file)?;
        Ok(Self {
            control,
            credential: handshake::Credential::new(operator.as_str().into(), secret.trim()),
            timeout: Duration::from_millis(arguments.timeout_ms),
        })
    }

    fn file(path: &Path) -> Result<Stored, error::Error> {
        let text = read(path)?;
        let mut file: Stored = serde_saphyr::from_str(&text)
            .map_err(|failure| error::Error::Document(path.into(), failure.to_string()))?;
        if let (Some(folder), Some(secret)) = (path.parent(), &file.secret_file) {
            file.secret_file = Some(folder.join(secret));
        }
        Ok(file)
    }
}
