//! `masticarch history`.

use masticarch_client::client;
use masticarch_wire::message::operator;

use crate::{arguments, error, output};

/// Shows the latest changes of the configuration.
///
/// # Errors
/// See [`error::Error`].
pub async fn run(
    client: &mut client::Client,
    format: arguments::Format,
    arguments: &arguments::History,
) -> Result<(), error::Error> {
    let request = operator::Request::History(arguments.count);
    let entries = match client.call(&request).await? {
        operator::Reply::History(entries) => entries,
        other => return Err(client::reply_error(other).into()),
    };
    output::print(format, &entries, || {
        let mut table = output::Table::new(["VERSION", "OPERATOR", "CHANGE", "STEPS"]);
        for entry in &entries {
            table.push_row([
                entry.version.to_string(),
                entry.operator.to_string(),
                format!("{:032x}", entry.id),
                entry.summary.join(", "),
            ]);
        }
        table.render()
    });
    Ok(())
}
