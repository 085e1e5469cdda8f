//! `masticarch delete`.

use masticarch_client::client;
use masticarch_model::edit;

use crate::command::apply;
use crate::{arguments, error, output};

/// Deletes one object.
///
/// # Errors
/// See [`error::Error`].
pub async fn run(
    client: &mut client::Client,
    format: arguments::Format,
    arguments: &arguments::Delete,
) -> Result<(), error::Error> {
    let (current_version, _) = client.configuration().await?;
    let delete = edit::Edit::Delete(arguments.kind, arguments.name.as_str().into());
    let change = client.change(current_version, vec![delete])?;
    let version = client.apply(change).await?;
    output::print(format, &apply::Published { version }, || {
        format!("published version {version}")
    });
    Ok(())
}
