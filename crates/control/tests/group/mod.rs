//! Members of a control group in one process, on real data directories.
#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use futures::channel::oneshot;
use masticarch_control::agreement::{event, message, outgoing, service, status};
use masticarch_control::{journal, options};
use masticarch_kernel::{address, mailbox, name, reply, stop, task};
use masticarch_model::{code, map, member, name as label};
use masticarch_wire::handshake;

const SERVICE: name::Name = name::Name::new("agreement");

/// The replicated state: the bytes of the commands, in log order.
#[derive(Default)]
pub struct State {
    pub index: u64,
    /// Number of bytes that are kept, the last ones; `None` keeps all.
    pub kept: Option<usize>,
    pub commands: Vec<u8>,
    pub installs: usize,
    pub leads: bool,
}

/// A running member.
pub struct Member {
    pub address: address::Address<message::Message>,
    pub state: Rc<RefCell<State>>,
    stop: oneshot::Sender<()>,
    handle: monoio::task::JoinHandle<Option<()>>,
}

/// Mailboxes of the running members, to which messages are routed.
type Routes = Rc<RefCell<map::Map<member::Id, address::Address<message::Message>>>>;

/// A group of members whose data directories share a parent directory.
pub struct Group {
    directory: tempfile::TempDir,
    routes: Routes,
    outbound: address::Address<outgoing::Outgoing>,
    pub members: map::Map<member::Id, Member>,
}

impl Group {
    /// A group without running members.
    pub fn new() -> Self {
        let routes = Routes::default();
        let (outbound, mailbox) = mailbox::Mailbox::new(1024);
        task::spawn(SERVICE, route(mailbox, Rc::clone(&routes)));
        Self {
            directory: tempfile::tempdir().unwrap(),
            routes,
            outbound,
            members: map::Map::default(),
        }
    }

    /// A group of three running members.
    pub fn of_three() -> Self {
        let mut group = Self::new();
        for id in 1..=3 {
            group.start(&group.options(id));
        }
        group
    }

    /// The options of an initial member.
    pub fn options(&self, id: u64) -> options::Options {
        options(&self.directory.path().join(id.to_string()), id)
    }

    /// Starts a member.
    pub fn start(&mut self, options: &options::Options) {
        self.start_with(options, State::default());
    }

    /// Starts a member with a state machine in this state.
    pub fn start_with(&mut self, options: &options::Options, state: State) {
        let journal = journal::Journal::open(options).unwrap();
        let (address, mailbox) = mailbox::Mailbox::new(1024);
        let (state_machine, events) = mailbox::Mailbox::new(1024);
        let state = Rc::new(RefCell::new(state));
        task::spawn(SERVICE, apply_events(events, Rc::clone(&state)));
        let outbound = self.outbound.clone();
        let (failure_sender, _) = stop::Stop::new();
        let service = service::Service::<event::Event, outgoing::Outgoing>::new(
            options,
            journal,
            state_machine,
            outbound,
            failure_sender,
        );
        let (stop, signal) = stop::Stop::new();
        let handle = task::spawn(SERVICE, service.run(mailbox, signal));
        self.routes.borrow_mut().insert(options.id, address.clone());
        let member = Member {
            address,
            state,
            stop,
            handle,
        };
        self.members.insert(options.id, member);
    }

    /// Stops a member; its data directory stays.
    pub async fn stop(&mut self, id: member::Id) {
        self.routes.borrow_mut().remove(&id);
        let member = self.members.remove(&id).unwrap();
        let _ = member.stop.send(());
        member.handle.await;
        // The writer closes the data directory on its own thread.
        monoio::time::sleep(Duration::from_millis(100)).await;
    }

    /// Waits until a member has confirmed its leadership, and returns its id.
    pub async fn leader(&self) -> member::Id {
        for _ in 0..200 {
            for (id, member) in &self.members {
                if member.confirm().await.is_ok() {
                    return *id;
                }
            }
            monoio::time::sleep(Duration::from_millis(25)).await;
        }
        panic!("no leader within 5 s");
    }

    /// Waits until every running member has this state.
    pub async fn settle(&self, commands: &[u8]) {
        for _ in 0..200 {
            let mut states = self.members.values().map(|member| member.state.borrow());
            if states.all(|state| state.commands == commands) {
                return;
            }
            monoio::time::sleep(Duration::from_millis(25)).await;
        }
        panic!("members differ after 5 s");
    }
}

impl Member {
    pub async fn propose(&self, command: &[u8]) -> Result<u64, code::Code> {
        let build = |reply| message::Message::Propose(command.to_vec(), reply);
        self.address.ask(build).await.unwrap()
    }

    pub async fn confirm(&self) -> Result<(), code::Code> {
        let confirm = |reply| message::Message::Confirm(message::Round::Immediate, reply);
        self.address.ask(confirm).await.unwrap()
    }

    pub async fn status(&self) -> status::Status {
        self.address.ask(message::Message::Status).await.unwrap()
    }

    pub async fn change(
        &self,
        build: impl FnOnce(reply::Reply<Result<(), code::Code>>) -> message::Message,
    ) -> Result<(), code::Code> {
        self.address.ask(build).await.unwrap()
    }
}

/// The address of a member, used as a label only.
pub fn address_of(id: u64) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, u16::try_from(id).unwrap()).into()
}

fn options(data: &Path, id: u64) -> options::Options {
    let voter = |id| member::Member {
        id: member::Id(id),
        address: address_of(id),
        voter: true,
    };
    let name = label::Name::new("control");
    options::Options::builder()
        .id(member::Id(id))
        .member(address_of(id))
        .operator(address_of(id))
        .admin(address_of(id))
        .data(data.to_owned())
        .members((1..=3).map(voter).collect())
        .new(true)
        .credential(handshake::Credential::new(name, "secret"))
        .operators(Vec::new())
        .build()
}

async fn route(mut mailbox: mailbox::Mailbox<outgoing::Outgoing>, routes: Routes) {
    while let Some(outgoing) = mailbox.receive().await {
        let route = routes.borrow().get(&outgoing.to).cloned();
        if let Some(route) = route {
            let _ = route.try_send(message::Message::Deliver(outgoing.bytes));
        }
    }
}

async fn apply_events(mut events: mailbox::Mailbox<event::Event>, state: Rc<RefCell<State>>) {
    while let Some(event) = events.receive().await {
        let mut state = state.borrow_mut();
        match event {
            event::Event::Committed(index, command) => {
                assert_eq!(index, state.index + 1, "a gap in the log");
                state.index = index;
                state.commands.extend_from_slice(&command);
                let kept = state.kept.unwrap_or(usize::MAX);
                let dropped = state.commands.len().saturating_sub(kept);
                state.commands.drain(..dropped);
            }
            event::Event::Members(index, _) => state.index = index,
            event::Event::Install(snapshot) => {
                state.index = snapshot.index;
                state.commands = snapshot.bytes.to_vec();
                state.installs += 1;
            }
            event::Event::TakeSnapshot(reply) => {
                let snapshot = event::Snapshot {
                    index: state.index,
                    bytes: state.commands.clone().into(),
                };
                let _ = reply.send(Some(snapshot));
            }
            event::Event::Role(leadership) => state.leads = leadership.leads(),
            event::Event::CaughtUp => {}
        }
    }
}
