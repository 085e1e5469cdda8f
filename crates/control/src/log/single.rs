//! A log with one member that commits in memory at once. It loses everything
//! when the process ends; the consensus task takes its place.

use std::net::SocketAddr;

use futures::FutureExt;
use masticarch_kernel::{address, error, mailbox, stop};
use masticarch_model::{code, member};
use masticarch_wire::message::status as wire;

use super::{message, status};
use crate::registry;

/// The only member of the log.
pub struct Single {
    member: member::Member,
    index: u64,
    registry: address::Address<registry::message::Message>,
}

impl Single {
    /// Makes an empty log.
    #[must_use]
    pub const fn new(
        id: member::Id,
        address: SocketAddr,
        registry: address::Address<registry::message::Message>,
    ) -> Self {
        let member = member::Member {
            id,
            address,
            voter: true,
        };
        Self {
            member,
            index: 0,
            registry,
        }
    }

    /// Leads until it is asked to stop or the registry has stopped.
    pub async fn run(self, mailbox: mailbox::Mailbox<message::Message>, stop: stop::Stop) {
        futures::select_biased! {
            () = self.lead(mailbox).fuse() => {}
            () = stop.wait().fuse() => {}
        }
    }

    async fn lead(mut self, mut mailbox: mailbox::Mailbox<message::Message>) {
        let role = registry::message::Message::Role(true);
        if self.registry.send(role).await.is_err() {
            return;
        }
        while let Some(message) = mailbox.receive().await {
            if self.handle(message).await.is_err() {
                return;
            }
        }
    }

    /// Handles one message. Nobody waiting for a reply any more is no error.
    async fn handle(&mut self, message: message::Message) -> Result<(), error::Error> {
        match message {
            message::Message::Propose(command, reply) => {
                self.index += 1;
                let entry = registry::message::Message::Committed(self.index, command);
                self.registry.send(entry).await?;
                let _ = reply.send(Ok(self.index));
            }
            message::Message::Confirm(reply) => {
                let _ = reply.send(Ok(()));
            }
            message::Message::Status(reply) => {
                let _ = reply.send(self.status());
            }
            message::Message::AddLearner(_, reply)
            | message::Message::Promote(_, reply)
            | message::Message::Remove(_, reply) => {
                let _ = reply.send(Err(code::Code::MemberChangeRefused));
            }
            message::Message::Agree(_) => {}
        }
        Ok(())
    }

    fn status(&self) -> status::Status {
        status::Status {
            role: status::Role::Leader,
            term: 1,
            leader: Some(self.member.address),
            members: vec![wire::Control {
                member: self.member.clone(),
                leads: true,
                matched: self.index,
                silent_ms: 0,
            }],
        }
    }
}
