//! Health probe of one generation of connections to a node.

use std::net::SocketAddr;
use std::rc::Weak;
use std::time::Duration;

use bytes::Bytes;
use futures::channel::oneshot;
use futures::future::Either;
use http::{Method, StatusCode, Uri};
use masticarch_kernel::address;
use masticarch_wire::handshake;
use masticarch_wire::http::{budget, connection, request};

use super::{message, open};
use crate::race;

/// Time between two checks whether a probe is due, and age of the last answer from
/// which on it is.
pub const INTERVAL: Duration = Duration::from_millis(500);
/// Wait for the answer to a probe after which the connections are suspected to be silent.
const TIMEOUT: Duration = Duration::from_millis(400);
/// Time by which the answer to an earlier probe may be behind that on a new connection.
const OVERTAKING_MARGIN: Duration = Duration::from_millis(50);
/// Largest body of an answer to a probe.
const MAX_ANSWER_BYTES: usize = 1024;

/// Whether a probe of a generation is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// A probe is to be sent.
    Now,
    /// Answers to requests show that the connections are alive.
    Later,
    /// The generation is no longer used for new exchanges.
    Ended,
}

/// One generation of connections to a node, as its probe sees it.
pub struct Generation {
    /// Peer port of the node.
    pub peer: SocketAddr,
    /// Number of the generation.
    pub number: u64,
    /// Proves membership of the fleet.
    pub credential: handshake::Credential,
    /// The service that owns the connections.
    pub links: address::Address<message::Message>,
    /// Held by each exchange on these connections.
    pub in_use: Weak<()>,
    /// Dropped when the connections are known to be silent.
    pub silent: oneshot::Sender<()>,
}

/// Probes a node on a separate connection, opened at the start of the generation that
/// it represents. Busy connections cannot be probed themselves, because each carries one
/// request at a time. No probe is sent while answers to requests show that the generation
/// is alive.
///
/// An unanswered probe makes the generation suspect. It is known to be silent when the
/// node answers on a new connection but not on the probed one, or when that one closes.
/// Until then the whole node may be silent for a while, and its running work goes on.
pub async fn run(generation: Generation) {
    let Generation { peer, number, .. } = generation;
    let Ok(mut connection) = open::open(peer, &generation.credential).await else {
        generation.suspect().await;
        return generation.new_connection_answers().await;
    };
    loop {
        monoio::time::sleep(INTERVAL).await;
        let is_probe_due = |reply| message::Message::IsProbeDue(peer, number, reply);
        match generation.links.ask(is_probe_due).await {
            Ok(Due::Later) => continue,
            Ok(Due::Ended) if generation.in_use.strong_count() == 0 => return,
            Ok(Due::Now | Due::Ended) => {}
            Err(_) => return,
        }
        if !generation.is_alive(&mut connection).await {
            return;
        }
        let alive = message::Message::Alive(peer, number);
        if generation.links.send(alive).await.is_err() {
            return;
        }
    }
}

impl Generation {
    /// Sends a probe and waits until it is known whether the connections are alive.
    async fn is_alive(&self, connection: &mut message::Connection) -> bool {
        let mut answer = std::pin::pin!(probe(connection));
        if let Ok(alive) = monoio::time::timeout(TIMEOUT, answer.as_mut()).await {
            if !alive {
                self.suspect().await;
            }
            return alive;
        }
        self.suspect().await;
        match race::race(answer.as_mut(), self.new_connection_answers()).await {
            Either::Left(alive) => alive,
            Either::Right(()) => monoio::time::timeout(OVERTAKING_MARGIN, answer)
                .await
                .unwrap_or(false),
        }
    }

    async fn suspect(&self) {
        let suspect = message::Message::Suspect(self.peer, self.number);
        let _ = self.links.send(suspect).await;
    }

    /// Waits until the node answers a probe on a new connection, or no exchange is left
    /// that could end for it.
    async fn new_connection_answers(&self) {
        while self.in_use.strong_count() > 0 {
            if let Ok(mut connection) = open::open(self.peer, &self.credential).await
                && monoio::time::timeout(TIMEOUT, probe(&mut connection)).await == Ok(true)
            {
                return;
            }
            monoio::time::sleep(INTERVAL).await;
        }
    }
}

async fn probe(connection: &mut message::Connection) -> bool {
    let ping = request::Request::new(Method::GET, Uri::from_static("/ping"), Bytes::new());
    let limits = connection::BodyLimits {
        max_bytes: MAX_ANSWER_BYTES,
        budget: budget::Budget::new(MAX_ANSWER_BYTES),
    };
    let answer = connection.exchange(&ping, &limits).await;
    answer.is_ok_and(|answer| answer.status == StatusCode::NO_CONTENT && answer.keep_alive)
}
