//! `masticarch drain`.

use masticarch_client::client;
use masticarch_wire::message::operator;

use crate::{arguments, error};

/// Asks a node to drain.
///
/// # Errors
/// See [`error::Error`].
pub async fn run(
    client: &mut client::Client,
    arguments: &arguments::Drain,
) -> Result<(), error::Error> {
    let node = arguments.node.as_str();
    let request = operator::Request::Drain(node.into());
    client.command(&request).await?;
    println!("{node} takes no new work; running requests finish");
    Ok(())
}
