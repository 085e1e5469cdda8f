//! Client of the replicated log in the same process.

use std::net::SocketAddr;
use std::time::Duration;

use masticarch_kernel::{address, error, reply};
use masticarch_model::code;

use super::{message, status};

/// Time for a quorum round or a commit. An election takes up to 1.5 s, and a
/// command may also have to wait for the first commit of the next leader.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends requests to the service of the replicated log; cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    address: address::Address<message::Message>,
}

impl Client {
    /// Makes a client of the service at this address.
    #[must_use]
    pub const fn new(address: address::Address<message::Message>) -> Self {
        Self { address }
    }

    /// Appends a command and returns its index after commit.
    ///
    /// # Errors
    /// [`code::Code::NotLeader`] and other codes of the log when the command was
    /// not accepted; [`code::Code::TimeoutOutcomeUnknown`] when it may still be
    /// committed.
    pub async fn propose(&self, command: Vec<u8>) -> Result<u64, code::Code> {
        let asked = self
            .address
            .ask(|reply| message::Message::Propose(command, reply));
        match monoio::time::timeout(REQUEST_TIMEOUT, asked).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(code::Code::TimeoutOutcomeUnknown),
        }
    }

    /// Confirms leadership by a quorum round.
    ///
    /// # Errors
    /// [`code::Code::NotLeader`] or [`code::Code::NoQuorum`].
    pub async fn confirm(&self, round: message::Round) -> Result<(), code::Code> {
        self.ask(|reply| message::Message::Confirm(round, reply))
            .await
    }

    /// Sends a request and waits for its reply, such as for a change of members.
    ///
    /// # Errors
    /// The code of the refusal, or [`code::Code::NoQuorum`] when the log does
    /// not answer in time.
    pub async fn ask(
        &self,
        build: impl FnOnce(reply::Reply<Result<(), code::Code>>) -> message::Message,
    ) -> Result<(), code::Code> {
        match monoio::time::timeout(REQUEST_TIMEOUT, self.address.ask(build)).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(code::Code::NoQuorum),
        }
    }

    /// Returns the state of the log at this member.
    ///
    /// # Errors
    /// [`error::Error::Closed`] when the service has stopped.
    pub async fn status(&self) -> Result<status::Status, error::Error> {
        self.address.ask(message::Message::Status).await
    }

    /// Address of the leader's member port, if known.
    pub async fn leader(&self) -> Option<SocketAddr> {
        self.status().await.ok()?.leader
    }

    /// Delivers an encoded envelope from another control process to the log.
    ///
    /// # Errors
    /// [`error::Error::Closed`] when the service has stopped.
    pub async fn deliver(&self, bytes: Vec<u8>) -> Result<(), error::Error> {
        self.address.send(message::Message::Deliver(bytes)).await
    }
}
