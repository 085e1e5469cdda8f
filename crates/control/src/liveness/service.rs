//! The task that keeps the times of last contact.

use std::time::Instant;

use futures::FutureExt;
use masticarch_kernel::{mailbox, stop};

use super::{contacts, message};

/// Keeps the times of last contact with nodes.
pub struct Service {
    contacts: contacts::Contacts,
    leads: bool,
}

impl Service {
    /// Makes the service of a process that does not lead.
    #[must_use]
    pub fn new() -> Self {
        Self {
            contacts: contacts::Contacts::new(Instant::now()),
            leads: false,
        }
    }

    /// Handles messages until the service is asked to stop.
    pub async fn run(mut self, mut mailbox: mailbox::Mailbox<message::Message>, stop: stop::Stop) {
        loop {
            let message = futures::select_biased! {
                message = mailbox.receive().fuse() => message,
                () = stop.wait().fuse() => None,
            };
            let Some(message) = message else { return };
            self.handle(message, Instant::now());
        }
    }

    /// Handles one message. It is not an error if nobody waits for the reply any
    /// more.
    fn handle(&mut self, message: message::Message, now: Instant) {
        match message {
            message::Message::Role(leads) => {
                self.leads = leads;
                self.contacts.restart(now);
            }
            message::Message::Contact(contact) => self.contacts.touch(now, contact),
            message::Message::Joined(name) => self.contacts.join(now, name),
            message::Message::JoinDelay(name, reply) => {
                let _ = reply.send(self.contacts.join_delay(now, &name));
            }
            message::Message::Damping(name, reply) => {
                let _ = reply.send(self.contacts.damping(now, &name));
            }
            message::Message::Silent(nodes, reply) => {
                let silent = self.contacts.silent(now, nodes);
                let _ = reply.send(if self.leads { silent } else { Vec::new() });
            }
            message::Message::LastContacts(reply) => {
                let _ = reply.send(self.contacts.last_contacts(now));
            }
        }
    }
}

impl Default for Service {
    fn default() -> Self {
        Self::new()
    }
}
