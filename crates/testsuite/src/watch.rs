//! Observation of the versions that nodes report while a test acts.

use std::net::SocketAddr;
use std::time::Duration;

use futures::channel::oneshot;
use masticarch_load::fleet::admin;

/// Time between two observations of all nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Versions that a node reported at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// Address of the node's admin port.
    pub node: SocketAddr,
    /// Incarnation of the node, which identifies the run of its process.
    pub incarnation: String,
    /// Version of the published state that the node held.
    pub version: u64,
    /// Version of the configuration that the node held.
    pub configuration_version: u64,
}

/// Runs an action, and observes the nodes with these admin ports until it ends.
pub async fn during<F: Future>(nodes: Vec<SocketAddr>, action: F) -> (F::Output, Vec<Observation>) {
    let (running, mut ended) = oneshot::channel::<()>();
    let acting = async {
        let output = action.await;
        drop(running);
        output
    };
    let watching = async {
        let mut seen = Vec::new();
        // The channel reports an error once the action has ended and dropped the sender.
        while ended.try_recv().is_ok() {
            for node in &nodes {
                seen.extend(observe(*node).await);
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        seen
    };
    futures::join!(acting, watching)
}

/// Reads the status of a node; `None` when the node does not answer.
pub async fn observe(node: SocketAddr) -> Option<Observation> {
    let text = admin::get(node, "/status").await.ok()?;
    let status: serde_json::Value = serde_json::from_str(&text).ok()?;
    Some(Observation {
        node,
        incarnation: status["incarnation"].as_str()?.to_owned(),
        version: status["version"].as_u64()?,
        configuration_version: status["configuration_version"].as_u64()?,
    })
}
