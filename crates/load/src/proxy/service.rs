//! The service `proxy`: the current fault and the relayed connections.

use masticarch_kernel::{address, mailbox, name, reply, task};

use super::{acceptor, fault, relay, transfer};

/// Name of the service.
pub const NAME: name::Name = name::Name::new("proxy");

slotmap::new_key_type! {
    /// Key of a relayed connection.
    pub struct Key;
}

/// A message to the service.
#[derive(Debug)]
pub enum Message {
    /// A connection has been accepted.
    Accepted(acceptor::Pair),
    /// The relay of a connection has ended.
    Ended(Key),
    /// Replaces the current fault, also for existing connections.
    Apply(fault::Fault, reply::Reply<()>),
    /// Applies a cut to all existing connections and replies with their number.
    Cut(fault::Cut, reply::Reply<usize>),
    /// Replies with the number of existing connections.
    Count(reply::Reply<usize>),
}

/// The state of the service.
pub struct Service {
    fault: fault::Fault,
    connections: slotmap::SlotMap<Key, relay::Handle>,
    own: address::Address<Message>,
}

impl Service {
    /// Creates the state without a fault. `own` is the address of this service, to
    /// which relays report their end.
    #[must_use]
    pub fn new(own: address::Address<Message>) -> Self {
        Self {
            fault: fault::Fault::default(),
            connections: slotmap::SlotMap::with_key(),
            own,
        }
    }

    /// Handles messages until the service stops.
    pub async fn run(
        mut self,
        mut mailbox: mailbox::Mailbox<Message>,
        stop: masticarch_kernel::stop::Stop,
    ) {
        loop {
            let message = monoio::select! {
                message = mailbox.receive() => message,
                () = stop.wait() => None,
            };
            match message {
                Some(message) => self.handle(message),
                None => return,
            }
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Accepted(pair) => self.accept(pair),
            Message::Ended(key) => {
                self.connections.remove(key);
            }
            Message::Apply(fault, reply) => {
                self.apply(fault);
                let _ = reply.send(());
            }
            Message::Cut(cut, reply) => {
                let _ = reply.send(self.cut(cut));
            }
            Message::Count(reply) => {
                let _ = reply.send(self.connections.len());
            }
        }
    }

    fn accept(&mut self, pair: acceptor::Pair) {
        if self.fault.refuse {
            let _ = relay::reset_on_close(&pair.client);
            return;
        }
        let (handle, commands) = relay::channel();
        let key = self.connections.insert(handle);
        let fault = self.fault;
        let own = self.own.clone();
        task::spawn(NAME, async move {
            let _ = relay::run(pair, fault, commands).await;
            let _ = own.send(Message::Ended(key)).await;
        });
    }

    fn apply(&mut self, fault: fault::Fault) {
        self.fault = fault;
        let responsive = self
            .connections
            .values()
            .filter(|connection| !connection.blackholed);
        for connection in responsive {
            let _ = connection.forward.try_send(transfer::Command::Apply(fault));
            let _ = connection
                .backward
                .try_send(transfer::Command::Apply(fault));
        }
    }

    fn cut(&mut self, cut: fault::Cut) -> usize {
        let count = self.connections.len();
        match cut {
            fault::Cut::Blackhole => self.blackhole(),
            fault::Cut::Reset => self.connections.clear(),
            fault::Cut::HalfClose => {
                for connection in self.connections.values() {
                    let _ = connection.forward.try_send(transfer::Command::End);
                }
            }
        }
        count
    }

    fn blackhole(&mut self) {
        let stalled = fault::Fault {
            stall: true,
            ..self.fault
        };
        for connection in self.connections.values_mut() {
            connection.blackholed = true;
            let _ = connection
                .forward
                .try_send(transfer::Command::Apply(stalled));
            let _ = connection
                .backward
                .try_send(transfer::Command::Apply(stalled));
        }
    }
}
