//! The service that holds the node's copy of the published state.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use futures::future::{self, Either};
use masticarch_kernel::{address, mailbox, reply, stop, task};
use masticarch_model::{directory, incarnation, node, run, target, view};
use masticarch_wire::message::sync;

use super::{home, message, poll};
use crate::{
    admission, contacts, gate, leader, metrics, name, options, quarantine, target as local,
};

/// Longest time for which the leader holds a request while there is no change.
const MAX_HOLD_MS: u32 = 600;

/// Settings of the service, and the services that it exchanges messages with.
pub struct Context {
    /// Options of the node.
    pub options: Rc<options::Options>,
    /// Addresses of the control processes.
    pub contacts: contacts::Contacts,
    /// Incarnation of this process.
    pub incarnation: incarnation::Incarnation,
    /// Receives the version of the copy.
    pub metrics: metrics::Metrics,
    /// Address of this service, for the long poll.
    pub own: address::Address<message::Message>,
    /// Receives every compiled directory.
    pub gate: address::Address<gate::message::Message>,
    /// Receives every compiled directory.
    pub quarantine: address::Address<quarantine::message::Message>,
    /// Lists the announced local targets.
    pub target: address::Address<local::message::Message>,
    /// Reports the load of the local targets.
    pub admission: address::Address<admission::message::Message>,
}

struct Sync {
    context: Context,
    view: view::View,
    directory: Rc<directory::Directory>,
    homes: home::Homes,
    current_at: Option<Instant>,
    announced: Vec<target::Target>,
    /// Departed runs that the leader has recorded.
    recorded: Vec<run::Run>,
    draining: bool,
    /// The leader that answered last.
    leader: Option<SocketAddr>,
}

/// Runs the service until asked to stop, then tells the leader that the node
/// leaves.
pub async fn run(
    mut mailbox: mailbox::Mailbox<message::Message>,
    context: Context,
    stop: stop::Stop,
) {
    let options = Rc::clone(&context.options);
    let contacts = context.contacts.clone();
    let leader = || {
        leader::Leader::new(
            contacts.clone(),
            options.credential.clone(),
            leader::CALL_TIMEOUT,
        )
    };
    let polling = poll::run(leader(), context.own.clone());
    let ended = stop.clone();
    drop(task::spawn(name::SYNC, async move {
        future::select(std::pin::pin!(polling), std::pin::pin!(ended.wait())).await;
    }));
    let mut sync = Sync {
        context,
        view: view::View::default(),
        directory: Rc::default(),
        homes: home::Homes::default(),
        current_at: None,
        announced: Vec::new(),
        recorded: Vec::new(),
        draining: false,
        leader: None,
    };
    let mut stopped = std::pin::pin!(stop.wait());
    loop {
        let next = std::pin::pin!(mailbox.receive());
        match future::select(stopped.as_mut(), next).await {
            Either::Right((Some(message), _)) => sync.handle(message).await,
            _ => break,
        }
    }
    let request = sync.request().await;
    poll::leave(leader(), request).await;
}

impl Sync {
    async fn handle(&mut self, message: message::Message) {
        match message {
            message::Message::NextRequest(reply) => {
                let request = self.request().await;
                let _ = reply.send(request);
            }
            message::Message::Received(reply, sent) => self.receive(reply, sent).await,
            message::Message::Home(id, reply) => {
                let _ = reply.send(self.home(&id));
            }
            message::Message::Report(reply) => self.report(reply).await,
            message::Message::Recorded(departed) => self.recorded = departed,
            message::Message::Drain => self.draining = true,
            message::Message::Status(reply) => {
                let _ = reply.send(self.status());
            }
        }
    }

    async fn request(&mut self) -> sync::Request {
        let runs = self.runs().await;
        let targets = self.targets().await;
        let changed = targets != self.announced;
        self.announced.clone_from(&targets);
        let options = &self.context.options;
        sync::Request {
            node: node::Node {
                name: options.name.clone(),
                incarnation: self.context.incarnation,
                place: options.place.clone(),
                peer: options.advertised.unwrap_or(options.peer),
            },
            targets,
            renewals: runs.renewals,
            departed: runs.departed,
            loads: self.loads().await,
            held: self.view.version,
            // A changed announcement is not held, so that the next poll returns it to
            // this node at once.
            hold_ms: if changed { 0 } else { MAX_HOLD_MS },
            leaving: false,
        }
    }

    /// Reports to the leader in a task of its own, unless it knows all departed runs.
    async fn report(&mut self, reply: reply::Reply<bool>) {
        let request = self.request().await;
        if request.departed == self.recorded {
            let _ = reply.send(true);
            return;
        }
        let leader = leader::Leader::new(
            self.context.contacts.clone(),
            self.context.options.credential.clone(),
            leader::CALL_TIMEOUT,
        );
        let own = self.context.own.clone();
        drop(task::spawn(name::SYNC, async move {
            let departed = request.departed.clone();
            let recorded = poll::report(leader, request).await;
            if recorded {
                let _ = own.send(message::Message::Recorded(departed)).await;
            }
            let _ = reply.send(recorded);
        }));
    }

    async fn runs(&self) -> local::runs::Runs {
        let runs = self.context.target.ask(local::message::Message::Runs).await;
        runs.unwrap_or_default()
    }

    async fn loads(&self) -> Vec<sync::Load> {
        let ask = admission::message::Message::Status;
        let states = self.context.admission.ask(ask).await.unwrap_or_default();
        let load = |(target, summary): (target::Target, admission::summary::Summary)| sync::Load {
            service: target.service,
            limit: summary.limit,
            in_flight: summary.in_flight,
            admitted: summary.overload,
        };
        states.into_iter().map(load).collect()
    }

    async fn targets(&self) -> Vec<target::Target> {
        let list = self.context.target.ask(local::message::Message::List).await;
        let mut targets = list.unwrap_or_default();
        targets.sort_by(|left, right| left.service.cmp(&right.service));
        if self.draining {
            for target in &mut targets {
                target.state = target::State::Draining;
            }
        }
        targets
    }

    /// Has the leases reported at once to a new leader, which grants nothing before.
    async fn follow_leader(&mut self) {
        let leader = self.context.contacts.leader();
        if leader != self.leader {
            self.leader = leader;
            let _ = self
                .context
                .gate
                .send(gate::message::Message::LeaderChanged)
                .await;
        }
    }

    async fn receive(&mut self, reply: sync::Reply, sent: Instant) {
        self.follow_leader().await;
        let held = self.view.version;
        let changed = match reply {
            sync::Reply::Deltas(reached, deltas) if reached >= held => {
                for delta in &deltas {
                    self.view.apply(delta);
                }
                self.view.version = reached;
                // Claims advance the version without a delta.
                !deltas.is_empty()
            }
            sync::Reply::Snapshot(view) if view.version >= held => {
                self.view = *view;
                self.view.version > held
            }
            // A version older than that of the copy is never applied.
            _ => return,
        };
        self.current_at = Some(sent);
        self.publish(changed, sent).await;
    }

    async fn publish(&mut self, changed: bool, sent: Instant) {
        let message = if changed {
            self.directory = Rc::new(directory::Directory::new(&self.view));
            self.homes = home::Homes::new(&self.directory);
            self.context.contacts.update_members(&self.view.control);
            let directory = Rc::clone(&self.directory);
            let install = quarantine::message::Message::Install(directory);
            let _ = self.context.quarantine.send(install).await;
            gate::message::Message::Install(Rc::clone(&self.directory), sent)
        } else {
            gate::message::Message::Current(sent)
        };
        self.context.metrics.set_version(self.view.version);
        let _ = self.context.gate.send(message).await;
    }

    fn home(&self, id: &str) -> Option<home::Home> {
        let node = &self.directory.nodes[self.homes.of(id)?];
        if node.name == self.context.options.name {
            Some(home::Home::Local)
        } else {
            Some(home::Home::Remote(node.peer))
        }
    }

    fn status(&self) -> message::Status {
        message::Status {
            version: self.view.version,
            configuration_version: self.view.configuration_version,
            age: self.current_at.map(|current_at| current_at.elapsed()),
            draining: self.draining,
        }
    }
}
