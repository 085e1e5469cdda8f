//! `masticarch apply`.

use masticarch_client::client;
use masticarch_model::{edit, version};
use serde::Serialize;

use crate::{arguments, document, error, output};

/// Result of a change, as JSON and YAML show it.
#[derive(Debug, Serialize)]
pub(crate) struct Published {
    /// Version of the configuration with the change.
    pub version: version::Version,
}

/// Replaces the configuration with that of a file.
///
/// # Errors
/// See [`error::Error`].
pub async fn run(
    client: &mut client::Client,
    format: arguments::Format,
    arguments: &arguments::Apply,
) -> Result<(), error::Error> {
    let document = document::Document::read(&arguments.file)?;
    let (current_version, current) = client.configuration().await?;
    let expected = arguments.expect.map_or(current_version, version::Version);
    let configuration = document.into_configuration(&current.keys);
    let change = client.change(expected, vec![edit::Edit::Replace(configuration)])?;
    let version = client.apply(change).await?;
    output::print(format, &Published { version }, || {
        format!("published version {version}")
    });
    Ok(())
}
