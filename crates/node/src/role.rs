//! Starts and stops the services of a node.

use std::rc::Rc;
use std::time::{Duration, Instant};

use masticarch_kernel::{kernel, mailbox, stop, task};
use masticarch_model::incarnation;
use monoio::net::TcpListener;

use crate::protocol::{Protocol, native};
use crate::{
    admin, admission, caller, claims, error, gate, lease, ledger, links, listener, metrics, name,
    options, peer, quarantine, services, sync, target,
};

/// Most messages that wait at a service on the path of requests.
const REQUEST_MAILBOX_CAPACITY: usize = 4096;
/// Most messages that wait at the other services.
const MAILBOX_CAPACITY: usize = 256;
/// Time in which the other nodes learn that this node is draining.
const DRAIN_PROPAGATION: Duration = Duration::from_secs(1);
/// Fraction of the stop limit after which requests that are still in flight get their
/// final answers.
const CUTOFF_RATIO: f64 = 0.8;
/// Longest time for which the stop of one service is waited for, once no request is in
/// flight.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

struct Mailboxes {
    gate: mailbox::Mailbox<gate::message::Message>,
    admission: mailbox::Mailbox<admission::message::Message>,
    ledger: mailbox::Mailbox<ledger::message::Message>,
    claims: mailbox::Mailbox<claims::message::Message>,
    links: mailbox::Mailbox<links::message::Message>,
    target: mailbox::Mailbox<target::message::Message>,
    quarantine: mailbox::Mailbox<quarantine::message::Message>,
    sync: mailbox::Mailbox<sync::message::Message>,
}

struct Listeners {
    caller: TcpListener,
    peer: TcpListener,
    admin: TcpListener,
}

/// Runs a node with the native protocol until it is asked to stop and no request is
/// in flight any more, or the drain limit is over.
///
/// # Errors
/// [`error::Error`] when a port cannot be opened or a service not started.
pub async fn run(options: options::Options, stop: stop::Stop) -> Result<(), error::Error> {
    run_with::<native::Native>(options, stop, |_, _| Ok(())).await
}

/// Runs a node with any protocol, as [`run`] does. `extend` starts the services that
/// the protocol adds.
///
/// # Errors
/// As [`run`], and the errors of `extend`.
pub async fn run_with<P: Protocol>(
    options: options::Options,
    stop: stop::Stop,
    extend: impl FnOnce(&mut kernel::Kernel, &Rc<services::Services>) -> Result<(), error::Error>,
) -> Result<(), error::Error> {
    let options = Rc::new(options);
    let listeners = Listeners::open(&options)?;
    let mut kernel = kernel::Kernel::new();
    let mailboxes = Mailboxes::register(&mut kernel)?;
    let incarnation = incarnation::Incarnation(fastrand::u64(1..));
    let metrics = metrics::Metrics::new()?;
    let (cutoff_sender, cutoff) = stop::Stop::new();
    let services =
        services::Services::new(kernel.registry(), options, incarnation, metrics, cutoff)?;
    let services = Rc::new(services);
    start_stateful::<P>(&mut kernel, mailboxes, &services);
    start_listeners::<P>(&mut kernel, listeners, &services);
    extend(&mut kernel, &services)?;
    stop.wait().await;
    drain(&services).await;
    let limit = services.options.stop_limit;
    let cutoff_delay = cutoff_delay(&services.options);
    drop(task::spawn(name::CALLER, async move {
        monoio::time::sleep(cutoff_delay).await;
        drop(cutoff_sender);
    }));
    let stopping = kernel.shutdown(STOP_TIMEOUT.min(limit));
    if monoio::time::timeout(limit, stopping).await.is_err() {
        tracing::warn!("services did not stop within the timeout");
    }
    Ok(())
}

/// Announces that the node leaves, refuses new requests and waits for those in
/// flight. The ports stay open meanwhile, because running calls may still send
/// sub-calls.
async fn drain(services: &services::Services) {
    let _ = services.sync.send(sync::message::Message::Drain).await;
    let options = &services.options;
    let rest = DRAIN_PROPAGATION.saturating_sub(options.linger);
    let limit = options.drain_limit.saturating_sub(options.linger);
    let parts = [options.linger, rest, limit, cutoff_delay(options)];
    let whole = parts
        .into_iter()
        .fold(Duration::ZERO, Duration::saturating_add);
    if let Some(ends) = Instant::now().checked_add(whole) {
        let gate = gate::message::Message::ShutDown(ends);
        let _ = services.gate.send(gate).await;
        let admission = admission::message::Message::ShutDown(ends);
        let _ = services.admission.send(admission).await;
    }
    monoio::time::sleep(options.linger).await;
    let _ = services.gate.send(gate::message::Message::Drain).await;
    monoio::time::sleep(rest).await;
    let idle = monoio::time::timeout(limit, services.in_flight.wait_idle());
    if idle.await.is_err() {
        let in_flight = services.in_flight.count();
        tracing::warn!(
            in_flight,
            "requests were still in flight at the drain limit"
        );
    }
}

/// Time from the end of the drain to the final answers of requests still in flight.
fn cutoff_delay(options: &options::Options) -> Duration {
    options.stop_limit.mul_f64(CUTOFF_RATIO)
}

/// Starts the services that own state.
fn start_stateful<P: Protocol>(
    kernel: &mut kernel::Kernel,
    mailboxes: Mailboxes,
    services: &Rc<services::Services>,
) {
    let options = &services.options;
    let metrics = &services.metrics;
    let incarnation = services.incarnation;
    kernel.start(name::GATE, |stop| {
        gate::service::run(mailboxes.gate, options.clone(), metrics.clone(), stop)
    });
    kernel.start(name::ADMISSION, |stop| {
        admission::service::run::<P>(mailboxes.admission, options.clone(), metrics.clone(), stop)
    });
    kernel.start(name::LEDGER, |stop| {
        ledger::service::run(mailboxes.ledger, stop)
    });
    kernel.start(name::QUARANTINE, |stop| {
        quarantine::service::run(mailboxes.quarantine, Rc::clone(services), stop)
    });
    kernel.start(name::TARGET, |stop| {
        target::service::run(
            mailboxes.target,
            services.admission.clone(),
            services.quarantine.clone(),
            options.announcement_expiry,
            stop,
        )
    });
    kernel.start(name::LINKS, |stop| {
        links::service::run(
            mailboxes.links,
            services.links.clone(),
            options.clone(),
            stop,
        )
    });
    kernel.start(name::SYNC, |stop| {
        sync::service::run(mailboxes.sync, sync_context(services), stop)
    });
    // Stops before `sync`, because the claims of a node that has left can no
    // longer be settled.
    kernel.start(name::CLAIMS, |stop| {
        let own = services.claims.clone();
        claims::service::run(
            mailboxes.claims,
            own,
            services.contacts.clone(),
            options.clone(),
            incarnation,
            stop,
        )
    });
    kernel.start(name::LEASE, |stop| {
        lease::service::run(
            options.clone(),
            services.contacts.clone(),
            incarnation,
            services.gate.clone(),
            stop,
        )
    });
}

/// Starts the services that accept connections. They are started last and stop first.
fn start_listeners<P: Protocol>(
    kernel: &mut kernel::Kernel,
    listeners: Listeners,
    services: &Rc<services::Services>,
) {
    kernel.start(name::ADMIN, |stop| {
        admin::service::run(listeners.admin, services.clone(), stop)
    });
    kernel.start(name::PEER, |stop| {
        peer::service::run::<P>(listeners.peer, services.clone(), stop)
    });
    kernel.start(name::CALLER, |stop| {
        caller::service::run::<P>(listeners.caller, services.clone(), stop)
    });
}

fn sync_context(services: &services::Services) -> sync::service::Context {
    sync::service::Context {
        options: services.options.clone(),
        contacts: services.contacts.clone(),
        incarnation: services.incarnation,
        metrics: services.metrics.clone(),
        own: services.sync.clone(),
        gate: services.gate.clone(),
        quarantine: services.quarantine.clone(),
        target: services.target.clone(),
        admission: services.admission.clone(),
    }
}

impl Mailboxes {
    fn register(kernel: &mut kernel::Kernel) -> Result<Self, error::Error> {
        Ok(Self {
            gate: kernel.register(name::GATE, REQUEST_MAILBOX_CAPACITY)?,
            admission: kernel.register(name::ADMISSION, REQUEST_MAILBOX_CAPACITY)?,
            ledger: kernel.register(name::LEDGER, REQUEST_MAILBOX_CAPACITY)?,
            claims: kernel.register(name::CLAIMS, REQUEST_MAILBOX_CAPACITY)?,
            links: kernel.register(name::LINKS, REQUEST_MAILBOX_CAPACITY)?,
            target: kernel.register(name::TARGET, REQUEST_MAILBOX_CAPACITY)?,
            quarantine: kernel.register(name::QUARANTINE, REQUEST_MAILBOX_CAPACITY)?,
            sync: kernel.register(name::SYNC, MAILBOX_CAPACITY)?,
        })
    }
}

impl Listeners {
    fn open(options: &options::Options) -> Result<Self, error::Error> {
        Ok(Self {
            caller: listener::bind(options.caller)?,
            peer: listener::bind(options.peer)?,
            admin: listener::bind(options.admin)?,
        })
    }
}
