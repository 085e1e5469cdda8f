//! `masticarch check`.

use masticarch_client::client;
use masticarch_model::edit;

use crate::command::apply;
use crate::{arguments, document, error, output};

/// Checks a file against the present configuration without publishing it.
///
/// # Errors
/// See [`error::Error`].
pub async fn run(
    client: &mut client::Client,
    form: arguments::Output,
    arguments: &arguments::File,
) -> Result<(), error::Error> {
    let document = document::Document::read(&arguments.file)?;
    let (present, before) = client.configuration().await?;
    let configuration = document.over(&before.keys);
    let change = client.change(present, vec![edit::Edit::Replace(configuration)])?;
    let version = client.check(change).await?;
    output::print(form, &apply::Published { version }, || {
        format!("no faults; applying it would make version {version}")
    });
    Ok(())
}
