//! Health probe of one generation of connections to a node.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode, Uri};
use masticarch_kernel::address;
use masticarch_wire::handshake;
use masticarch_wire::http::{budget, connection, request};

use super::{message, open};

/// Time between two checks whether a probe is due, and age of the last answer from
/// which on it is.
pub const INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait for the answer to a probe.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Largest body of an answer to a probe.
const MAX_ANSWER_BYTES: usize = 1024;

/// Probes a node on a separate connection, opened at the start of the generation that
/// it represents, and reports the first probe that is not answered. Busy connections
/// cannot be probed themselves, because each carries one request at a time. No probe is
/// sent while answers to requests show that the generation is alive.
pub async fn run(
    peer: SocketAddr,
    generation: u64,
    credential: handshake::Credential,
    links: address::Address<message::Message>,
) {
    if let Ok(mut connection) = open::open(peer, &credential).await {
        loop {
            monoio::time::sleep(INTERVAL).await;
            let is_probe_due = |reply| message::Message::IsProbeDue(peer, generation, reply);
            match links.ask(is_probe_due).await {
                Ok(false) => continue,
                Ok(true) if probe(&mut connection).await => {}
                Ok(true) => break,
                Err(_) => return,
            }
            let alive = message::Message::Alive(peer, generation);
            if links.send(alive).await.is_err() {
                return;
            }
        }
    }
    let _ = links.send(message::Message::Silent(peer, generation)).await;
}

async fn probe(connection: &mut message::Connection) -> bool {
    let ping = request::Request::new(Method::GET, Uri::from_static("/ping"), Bytes::new());
    let space = connection::BodyLimits {
        max_bytes: MAX_ANSWER_BYTES,
        budget: budget::Budget::new(MAX_ANSWER_BYTES),
    };
    let exchange = connection.exchange(&ping, &space);
    matches!(
        monoio::time::timeout(TIMEOUT, exchange).await,
        Ok(Ok(answer)) if answer.status == StatusCode::NO_CONTENT && answer.keep_alive
    )
}
