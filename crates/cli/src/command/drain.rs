//! `masticarch drain`.

use masticarch_client::{client, error as client_error};
use masticarch_model::code;
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
    let result = client.execute(&request).await;
    result.map_err(|failure| explain(failure, node))?;
    println!("the targets of {node} accept no new requests; running requests finish");
    Ok(())
}

/// Converts an error of the call. For an unknown node, the text names the node
/// and the command that lists the nodes.
#[must_use]
pub fn explain(failure: client_error::Error, node: &str) -> error::Error {
    match failure {
        client_error::Error::Refused(code @ code::Code::NoSuchObject, _) => {
            let detail = format!("no node is named {node}; see 'masticarch status'");
            client_error::Error::Refused(code, detail.into()).into()
        }
        other => other.into(),
    }
}
