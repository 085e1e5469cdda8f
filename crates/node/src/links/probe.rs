//! Health probe of one generation of connections to a node.

use std::net::SocketAddr;
use std::rc::Weak;
use std::time::Duration;

use bytes::Bytes;
use futures::channel::oneshot;
use futures::future::Either;
use http::{Method, StatusCode, Uri};
use masticarch_kernel::address;
use masticarch_wire::http::{budget, connection, request};
use masticarch_wire::{error, handshake};

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

/// Why a generation is not probed any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// No exchange uses it.
    Unused,
    /// The node answers on a new connection, but not on the probed one.
    Silent,
    /// The probed connection has closed, which shows nothing of the others.
    Closed,
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
    /// Dropped when a probe was not answered.
    pub trusted: Option<oneshot::Sender<()>>,
    /// Dropped when the connections are known to be silent.
    pub silent: oneshot::Sender<()>,
}

/// Probes a node on a separate connection, opened at the start of the generation that
/// it represents. Busy connections cannot be probed themselves, because each carries one
/// request at a time. No probe is sent while answers to requests show that the generation
/// is alive.
///
/// An unanswered probe makes the generation suspect. It is known to be silent when the
/// node answers on a new connection but not on the probed one. Until then the whole node
/// may be silent for a while, and its running work goes on.
///
/// When the probed connection closes, new exchanges begin another generation, and those
/// in flight go on: a connection that was reset says nothing of the others, and the
/// options of [`masticarch_wire::socket`] end each that has gone silent itself.
pub async fn run(mut generation: Generation) {
    match generation.watch().await {
        End::Unused => {}
        End::Silent => tracing::warn!(
            peer = %generation.peer,
            exchanges = generation.in_use.strong_count(),
            "connections to a node have gone silent; the exchanges on them end"
        ),
        End::Closed => {
            tracing::info!(
                peer = %generation.peer,
                exchanges = generation.in_use.strong_count(),
                "the probed connection to a node has closed; exchanges on others go on"
            );
            generation.retire().await;
            generation.exchanges_ended().await;
        }
    }
}

impl Generation {
    /// Probes the generation for as long as that is possible and of use.
    async fn watch(&mut self) -> End {
        let mut connection = match open::open(self.peer, &self.credential).await {
            Ok(connection) => connection,
            Err(error::Error::Timeout) => {
                self.suspect().await;
                return End::Closed;
            }
            Err(_) => return End::Closed,
        };
        loop {
            monoio::time::sleep(INTERVAL).await;
            let due = |reply| message::Message::IsProbeDue(self.peer, self.number, reply);
            match self.links.ask(due).await {
                Ok(Due::Later) => continue,
                Ok(Due::Ended) if self.in_use.strong_count() == 0 => return End::Unused,
                Ok(Due::Now | Due::Ended) => {}
                Err(_) => return End::Unused,
            }
            if let Err(end) = self.check(&mut connection).await {
                return end;
            }
            let alive = message::Message::Alive(self.peer, self.number);
            if self.links.send(alive).await.is_err() {
                return End::Unused;
            }
        }
    }

    /// Sends a probe and waits until it is known whether the connections are alive.
    async fn check(&mut self, connection: &mut message::Connection) -> Result<(), End> {
        let mut answer = std::pin::pin!(probe(connection));
        if let Ok(answered) = monoio::time::timeout(TIMEOUT, answer.as_mut()).await {
            return alive_if(answered);
        }
        self.suspect().await;
        match race::race(answer.as_mut(), self.new_connection_answers()).await {
            Either::Left(answered) => alive_if(answered),
            Either::Right(()) => monoio::time::timeout(OVERTAKING_MARGIN, answer)
                .await
                .map_or(Err(End::Silent), alive_if),
        }
    }

    /// Ends the exchanges that another attempt can follow, and keeps new ones away.
    async fn suspect(&mut self) {
        self.trusted = None;
        self.retire().await;
    }

    /// Keeps new exchanges away from this generation.
    async fn retire(&self) {
        let retired = message::Message::Retire(self.peer, self.number);
        let _ = self.links.send(retired).await;
    }

    /// Waits until no exchange of this generation is left.
    async fn exchanges_ended(&self) {
        while self.in_use.strong_count() > 0 {
            monoio::time::sleep(INTERVAL).await;
        }
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

const fn alive_if(answered: bool) -> Result<(), End> {
    if answered { Ok(()) } else { Err(End::Closed) }
}

/// Whether a probe is answered; false when the connection closes.
async fn probe(connection: &mut message::Connection) -> bool {
    let ping = request::Request::new(Method::GET, Uri::from_static("/ping"), Bytes::new());
    let limits = connection::BodyLimits {
        max_bytes: MAX_ANSWER_BYTES,
        budget: budget::Budget::new(MAX_ANSWER_BYTES),
    };
    let answer = connection.exchange(&ping, &limits).await;
    answer.is_ok_and(|answer| answer.status == StatusCode::NO_CONTENT && answer.keep_alive)
}
