//! The connection to one member.

use std::net::SocketAddr;
use std::time::Duration;

use futures::stream::FuturesUnordered;
use futures::{FutureExt, StreamExt};
use masticarch_kernel::mailbox;
use masticarch_wire::masticarch_capnp::member;
use masticarch_wire::{error, handshake, rpc};

/// Time for the member to acknowledge a message. After it, a silent connection is
/// dropped, so that it does not cost two elections.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a failed connection, about one heartbeat.
const RECONNECT_DELAY: Duration = Duration::from_millis(75);
/// Maximum number of unacknowledged messages: more than two rounds of heartbeats
/// and appends over the slowest link.
const MAX_IN_FLIGHT: usize = 64;

/// The connection to one member, opened on demand and reopened after a failure.
pub struct Peer {
    address: SocketAddr,
    credential: handshake::Credential,
}

impl Peer {
    /// Makes a connection that is not open yet.
    pub const fn new(address: SocketAddr, credential: handshake::Credential) -> Self {
        Self {
            address,
            credential,
        }
    }

    /// Sends messages until the sender of the mailbox is dropped.
    pub async fn run(self, mut mailbox: mailbox::Mailbox<Vec<u8>>) {
        while let Some(first) = mailbox.receive().await {
            let outcome = self.send_all(first, &mut mailbox).await;
            if let Err(failure) = outcome {
                tracing::debug!(address = %self.address, error = %failure, "connection to member failed");
                monoio::time::sleep(RECONNECT_DELAY).await;
                // Messages queued in the meantime are outdated.
                while mailbox.try_receive().is_some() {}
            }
        }
    }

    /// Opens a connection and sends messages on it until it fails or the sender of
    /// the mailbox is dropped.
    async fn send_all(
        &self,
        first: Vec<u8>,
        mailbox: &mut mailbox::Mailbox<Vec<u8>>,
    ) -> Result<(), error::Error> {
        let role = handshake::Role::Member;
        let link = rpc::open_link(self.address, role, &self.credential).await?;
        let client: &member::Client = &link.client;
        let mut in_flight = FuturesUnordered::new();
        in_flight.push(send(client, &first));
        loop {
            let has_room = in_flight.len() < MAX_IN_FLIGHT;
            futures::select_biased! {
                outcome = in_flight.select_next_some() => outcome?,
                message = next(mailbox, has_room).fuse() => match message {
                    Some(message) => in_flight.push(send(client, &message)),
                    None => return Ok(()),
                },
            }
        }
    }
}

/// Receives the next message; never resolves while there is no room.
async fn next(mailbox: &mut mailbox::Mailbox<Vec<u8>>, has_room: bool) -> Option<Vec<u8>> {
    if !has_room {
        return futures::future::pending().await;
    }
    mailbox.receive().await
}

/// Sends a message at once; the future resolves when the member has acknowledged
/// it.
fn send(
    client: &member::Client,
    message: &[u8],
) -> impl Future<Output = Result<(), error::Error>> + use<> {
    let mut request = client.agree_request();
    request.get().set_message(message);
    let response = request.send().promise;
    async move {
        monoio::time::timeout(SEND_TIMEOUT, response)
            .await
            .map_err(|_| error::Error::Timeout)??;
        Ok(())
    }
}
