//! Calls to the control leader, whichever process it is.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use capnp::capability;
use masticarch_wire::masticarch_capnp::member;
use masticarch_wire::{error, handshake, link, message, rpc};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::contacts;

/// Longest time for a call that commits something.
pub const COMMIT_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest time for a call that commits nothing as a rule, on top of the time
/// that the leader may hold it. With the hold of a poll it bounds the time in
/// which a node notices that the leader's VM has lost its power.
pub const TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for opening a connection: three round trips between regions
/// take 75 ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Redirects that one call follows; more mean that an election is going on.
const REDIRECTS: usize = 2;

/// A request of a node with its kind of reply.
pub trait Question: Serialize {
    /// The reply.
    type Reply: DeserializeOwned;

    /// Sends the encoded question by its method.
    fn send(
        client: &member::Client,
        payload: &[u8],
    ) -> impl Future<Output = Result<Vec<u8>, capnp::Error>>;

    /// The address of the leader, if known, when the reply is that the process
    /// does not lead.
    fn redirect(reply: &Self::Reply) -> Option<Option<SocketAddr>>;
}

/// A connection to the control process that led last.
pub struct Leader {
    contacts: contacts::Contacts,
    position: usize,
    hint: Option<SocketAddr>,
    credential: handshake::Credential,
    timeout: Duration,
    link: Option<link::Link<member::Client>>,
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
    /// Starts with the first of the member ports; calls take up to `timeout`
    /// on top of their hold.
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
        }
    }

    /// Asks the leader; a reply may be held for `hold`. The connection is given
    /// up after any error, so that no late reply is taken for a newer one.
    ///
    /// # Errors
    /// [`error::Error::Timeout`] when no leader replied in time, and the errors
    /// of the connection.
    pub async fn ask<Q: Question>(
        &mut self,
        question: &Q,
        hold: Duration,
    ) -> Result<Q::Reply, error::Error> {
        let payload = message::encode(question);
        for _ in 0..=REDIRECTS {
            let limit = hold + self.timeout;
            let call = self.call::<Q>(&payload);
            let reply = monoio::time::timeout(limit, call)
                .await
                .map_err(|_| error::Error::Timeout)
                .flatten();
            match reply {
                Err(error) => {
                    self.leave(None);
                    return Err(error);
                }
                Ok(reply) => match Q::redirect(&reply) {
                    None => return Ok(reply),
                    Some(hint) => self.leave(hint),
                },
            }
        }
        Err(error::Error::Timeout)
    }

    async fn call<Q: Question>(&mut self, payload: &[u8]) -> Result<Q::Reply, error::Error> {
        let client = match &self.link {
            Some(link) => link.client.clone(),
            None => self.connect().await?,
        };
        message::decode(&Q::send(&client, payload).await?)
    }

    async fn connect(&mut self) -> Result<member::Client, error::Error> {
        let address = self
            .hint
            .or_else(|| self.contacts.get(self.position))
            .ok_or(error::Error::Timeout)?;
        let role = handshake::Role::Member;
        let opening = rpc::open_link(address, role, &self.credential);
        let link = monoio::time::timeout(CONNECT_TIMEOUT, opening)
            .await
            .map_err(|_| error::Error::Timeout)??;
        Ok(self.link.insert(link).client.clone())
    }

    /// Gives up the connection; without a hint the next address is tried.
    fn leave(&mut self, hint: Option<SocketAddr>) {
        self.link = None;
        self.hint = hint;
        if hint.is_none() {
            self.position = self.position.wrapping_add(1);
        }
    }
}

impl Question for message::sync::Request {
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

impl Question for message::lease::Request {
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

impl Question for message::claim::Request {
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
