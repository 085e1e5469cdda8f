//! Settings of the tool, from the command line, the environment and a file.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use masticarch_client::settings;
use masticarch_wire::handshake;
use serde::Deserialize;

use crate::{arguments, error};

/// Values of the settings file. Each is used when the command line and the
/// environment do not set it.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Defaults {
    control: Vec<SocketAddr>,
    operator: Option<String>,
    secret_file: Option<PathBuf>,
}

fn read_text(path: &Path) -> Result<String, error::Error> {
    fs::read_to_string(path).map_err(|source| error::Error::File(path.into(), source))
}

/// Settings of the client. A value from the command line or the environment
/// overrides that of the settings file.
///
/// # Errors
/// [`error::Error::Missing`], [`error::Error::File`] or
/// [`error::Error::Document`].
pub fn read(arguments: &arguments::Connection) -> Result<settings::Settings, error::Error> {
    let defaults = match &arguments.settings {
        Some(path) => read_defaults(path)?,
        None => Defaults::default(),
    };
    let control = if arguments.control.is_empty() {
        defaults.control
    } else {
        arguments.control.clone()
    };
    if control.is_empty() {
        return Err(error::Error::Missing("--control"));
    }
    let operator = arguments
        .operator
        .clone()
        .or(defaults.operator)
        .ok_or(error::Error::Missing("--operator"))?;
    let secret_file = arguments
        .secret_file
        .clone()
        .or(defaults.secret_file)
        .ok_or(error::Error::Missing("--secret-file"))?;
    let secret = read_text(&secret_file)?;
    Ok(settings::Settings {
        control,
        credential: handshake::Credential::new(operator.as_str().into(), secret.trim()),
        timeout: Duration::from_millis(arguments.timeout_ms),
    })
}

/// Reads the settings file; its secret file is relative to its directory.
fn read_defaults(path: &Path) -> Result<Defaults, error::Error> {
    let text = read_text(path)?;
    let mut defaults: Defaults = serde_saphyr::from_str(&text)
        .map_err(|failure| error::Error::Document(path.into(), failure.to_string()))?;
    if let (Some(folder), Some(secret)) = (path.parent(), &defaults.secret_file) {
        defaults.secret_file = Some(folder.join(secret));
    }
    Ok(defaults)
}
