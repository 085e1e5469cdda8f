//! `masticarch check`.

use masticarch_client::client;
use masticarch_model::edit;

use crate::command::apply;
use crate::{arguments, document, error, output};

/// Checks a file against the current configuration without publishing it.
///
/// # Errors
/// See [`error::Error`].
pub async fn run(
    client: &mut client::Client,
    format: arguments::Format,
    arguments: &arguments::File,
) -> Result<(), error::Error> {
    let document = document::Document::read(&arguments.file)?;
    let (current_version, current) = client.configuration().await?;
    let configuration = document.into_configuration(&current.keys);
    let change = client.change(current_version, vec![edit::Edit::Replace(configuration)])?;
    let version = client.check(change).await?;
    output::print(format, &apply::Published { version }, || {
        format!("no faults; applying the file would publish version {version}")
    });
    Ok(())
}
