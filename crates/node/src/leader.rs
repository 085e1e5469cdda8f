//! Calls to the control leader, found by trying addresses and following redirects.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use capnp::capability;
use masticarch_wire::masticarch_capnp::member;
use masticarch_wire::{error, handshake, link, message, rpc};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::contacts;

/// Longest time for a call that commits an entry to the replicated log.
pub const COMMIT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest time for a call that usually commits nothing, on top of the time for
/// which the leader may hold a long poll. Both together bound the time in which a
/// node notices that the leader's VM has lost its power.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for opening a connection: three round trips between regions
/// take 75 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Most redirects that one call follows; more mean that an election is going on.
const MAX_REDIRECTS: usize = 2;

/// A request to the leader, with the type of its reply.
pub trait Request: Serialize {
    /// Reply of the leader to this request.
    type Reply: DeserializeOwned;

    /// Calls the method of the `member` interface that takes this request.
    fn send(
        client: &member::Client,
        payload: &[u8],
    ) -> impl Future<Output = Result<Vec<u8>, capnp::Error>>;

    /// `Some` when the reply says that the process does not lead; holds the address
    /// of the leader, if it is known.
    fn redirect(reply: &Self::Reply) -> Option<Option<SocketAddr>>;
}

/// A connection to the control process that was last known to lead.
pub struct Leader {
    contacts: contacts::Contacts,
    position: usize,
    hint: Option<SocketAddr>,
    credential: handshake::Credential,
    timeout: Duration,
    link: Option<link::Link<member::Client>>,
    /// Address of the process that the link leads to, or that is being connected to.
    address: Option<SocketAddr>,
}

impl fmt::Debug for Leader {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Leader")
            .field("contacts", &self.contacts)
            .field("hint", &self.hint)
            .finish_non_exhaustive()
    }
}

impl Leader {
    /// A leader without a connection; the first call tries the first of the contacts. A
    /// call takes up to `timeout` on top of its hold.
    #[must_use]
    pub fn new(
        contacts: contacts::Contacts,
        credential: handshake::Credential,
        timeout: Duration,
    ) -> Self {
        Self {
            contacts,
            position: 0,
            hint: None,
            credential,
            timeout,
            link: None,
            address: None,
        }
    }

    /// Sends a request to the leader, which may hold the reply for up to `hold`. The
    /// connection is closed after any error, so that a late reply is not taken for
    /// the reply to a newer request.
    ///
    /// # Errors
    /// [`error::Error::Timeout`] when no leader replied in time, and the errors
    /// of the connection.
    pub async fn ask<R: Request>(
        &mut self,
        request: &R,
        hold: Duration,
    ) -> Result<R::Reply, error::Error> {
        let payload = message::encode(request);
        for _ in 0..=MAX_REDIRECTS {
            let limit = hold + self.timeout;
            let call = self.call::<R>(&payload);
            let reply = monoio::time::timeout(limit, call)
                .await
                .map_err(|_| error::Error::Timeout)
                .flatten();
            match reply {
                Err(error) => {
                    self.disconnect(None);
                    return Err(error);
                }
                Ok(reply) => match R::redirect(&reply) {
                    None => {
                        self.record_leader();
                        return Ok(reply);
                    }
                    Some(hint) => self.disconnect(hint),
                },
            }
        }
        Err(error::Error::Timeout)
    }

    async fn call<R: Request>(&mut self, payload: &[u8]) -> Result<R::Reply, error::Error> {
        self.follow_leader();
        let client = match &self.link {
            Some(link) => link.client.clone(),
            None => self.connect().await?,
        };
        message::decode(&R::send(&client, payload).await?)
    }

    /// Leaves a process that no longer leads, as another call of this node has found out.
    fn follow_leader(&mut self) {
        let leader = self.contacts.leader();
        if leader.is_some() && leader != self.address {
            self.link = None;
            self.hint = leader;
        }
    }

    fn record_leader(&self) {
        if let Some(address) = self.address {
            self.contacts.record_leader(address);
        }
    }

    async fn connect(&mut self) -> Result<member::Client, error::Error> {
        let address = self
            .hint
            .or_else(|| self.contacts.get(self.position))
            .ok_or(error::Error::Timeout)?;
        self.address = Some(address);
        let role = handshake::Role::Member;
        let opening = rpc::open_link(address, role, &self.credential);
        let link = monoio::time::timeout(CONNECT_TIMEOUT, opening)
            .await
            .map_err(|_| error::Error::Timeout)??;
        Ok(self.link.insert(link).client.clone())
    }

    /// Closes the connection. The next call goes to `hint`, or without one to the
    /// next of the contacts.
    fn disconnect(&mut self, hint: Option<SocketAddr>) {
        if let Some(address) = self.address.take() {
            self.contacts.forget_leader(address);
        }
        self.link = None;
        self.hint = hint;
        if hint.is_none() {
            self.position = self.position.wrapping_add(1);
        }
    }
}

impl Request for message::sync::Request {
    type Reply = message::sync::Reply;

    async fn send(client: &member::Client, payload: &[u8]) -> Result<Vec<u8>, capnp::Error> {
        let mut request = client.sync_request();
        request.get().set_request(payload);
        let response: capability::Response<member::sync_results::Owned> =
            request.send().promise.await?;
        Ok(response.get()?.get_reply()?.to_vec())
    }

    fn redirect(reply: &Self::Reply) -> Option<Option<SocketAddr>> {
        match reply {
            Self::Reply::NotLeader(hint) => Some(*hint),
            _ => None,
        }
    }
}

impl Request for message::lease::Request {
    type Reply = message::lease::Reply;

    async fn send(client: &member::Client, payload: &[u8]) -> Result<Vec<u8>, capnp::Error> {
        let mut request = client.lease_request();
        request.get().set_request(payload);
        let response: capability::Response<member::lease_results::Owned> =
            request.send().promise.await?;
        Ok(response.get()?.get_reply()?.to_vec())
    }

    fn redirect(reply: &Self::Reply) -> Option<Option<SocketAddr>> {
        match reply {
            Self::Reply::NotLeader(hint) => Some(*hint),
            Self::Reply::Grants(_) => None,
        }
    }
}

impl Request for message::claim::Request {
    type Reply = message::claim::Reply;

    async fn send(client: &member::Client, payload: &[u8]) -> Result<Vec<u8>, capnp::Error> {
        let mut request = client.claim_request();
        request.get().set_request(payload);
        let response: capability::Response<member::claim_results::Owned> =
            request.send().promise.await?;
        Ok(response.get()?.get_reply()?.to_vec())
    }

    fn redirect(reply: &Self::Reply) -> Option<Option<SocketAddr>> {
        match reply {
            Self::Reply::NotLeader(hint) => Some(*hint),
            _ => None,
        }
    }
}
