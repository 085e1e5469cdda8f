//! Starts the services of the control role and stops them.

use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::channel::oneshot;
use masticarch_kernel::{kernel, stop};

use crate::{
    admin, agreement, bootstrap, error, join, journal, listener, liveness, member, metrics, name,
    operator, options, outbound, quota, registry, services,
};

/// Messages that a mailbox holds before its senders wait.
const MAILBOX_CAPACITY: usize = 1_024;
/// Time between attempts to open a data directory again whose disk has failed.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);
/// Time for each service to stop, and for all of them together.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs the control role until it is asked to stop. After a failure of its storage it
/// does what the policy of the options says.
///
/// # Errors
/// Those of [`run_with`]. After a failure of the storage with the policy
/// [`options::FailurePolicy::Reopen`], those that a later attempt may not meet are logged
/// instead.
pub async fn run(options: options::Options, stop: stop::Stop) -> Result<(), error::Error> {
    let mut outcome = run_with(options.clone(), stop.clone(), |_, _| Ok(())).await;
    if options.on_storage_failure == options::FailurePolicy::Exit
        || !matches!(outcome, Err(error::Error::Storage))
    {
        return outcome;
    }
    while let Err(failure) = &outcome
        && failure.is_temporary()
    {
        tracing::warn!(error = %failure, "the data directory is opened again");
        if monoio::time::timeout(REOPEN_INTERVAL, stop.wait())
            .await
            .is_ok()
        {
            return Ok(());
        }
        outcome = run_with(options.clone(), stop.clone(), |_, _| Ok(())).await;
    }
    outcome
}

/// Runs the control role with the further services that `extend` starts, until it is
/// asked to stop or its storage fails.
///
/// # Errors
/// [`error::Error`] when the data directory or a port cannot be opened, when a
/// service cannot be registered or found, or when the storage fails; and the errors of
/// `extend`.
pub async fn run_with(
    options: options::Options,
    stop: stop::Stop,
    extend: impl FnOnce(&mut kernel::Kernel, &services::Services) -> Result<(), error::Error>,
) -> Result<(), error::Error> {
    let options = bootstrap::resolve(options).map_err(error::Error::Journal)?;
    let listeners = Listeners::open(&options)?;
    let journal = journal::Journal::open(&options)?;
    let entries = journal.recovered.entries.len();
    let entry_bytes = journal.recovered.entry_bytes();
    let snapshot_bytes = journal.recovered.snapshot.data.len();
    let mut kernel = kernel::Kernel::new();
    let (failure_sender, failure) = stop::Stop::new();
    let services = start_services(&mut kernel, &options, journal, failure_sender)?;
    start_listeners(&mut kernel, listeners, &services, options);
    extend(&mut kernel, &services)?;
    tracing::info!(entries, entry_bytes, snapshot_bytes, "control role started");
    let failed = futures::select_biased! {
        () = stop.wait().fuse() => false,
        () = failure.wait().fuse() => true,
    };
    let stopping = kernel.shutdown(STOP_TIMEOUT);
    if monoio::time::timeout(STOP_TIMEOUT, stopping).await.is_err() {
        tracing::warn!("services did not stop within the timeout");
    }
    tracing::info!("control role stopped");
    if failed {
        Err(error::Error::Storage)
    } else {
        Ok(())
    }
}

/// The listening sockets, opened before any service starts.
struct Listeners {
    member: listener::Listener,
    operator: listener::Listener,
    admin: listener::Listener,
}

impl Listeners {
    fn open(options: &options::Options) -> Result<Self, error::Error> {
        Ok(Self {
            member: listener::Listener::bind(name::MEMBER, options.member)?,
            operator: listener::Listener::bind(name::OPERATOR, options.operator)?,
            admin: listener::Listener::bind(name::ADMIN, options.admin)?,
        })
    }
}

/// Starts the services that are reached by messages, and the tasks that use them.
fn start_services(
    kernel: &mut kernel::Kernel,
    options: &options::Options,
    journal: journal::Journal,
    failure_sender: oneshot::Sender<()>,
) -> Result<services::Services, error::Error> {
    let agreement =
        kernel.register::<agreement::message::Message>(name::AGREEMENT, MAILBOX_CAPACITY)?;
    let registry =
        kernel.register::<registry::message::Message>(name::REGISTRY, MAILBOX_CAPACITY)?;
    let quota = kernel.register::<quota::message::Message>(name::QUOTA, MAILBOX_CAPACITY)?;
    let liveness =
        kernel.register::<liveness::message::Message>(name::LIVENESS, MAILBOX_CAPACITY)?;
    let outbound =
        kernel.register::<agreement::outgoing::Outgoing>(name::OUTBOUND, MAILBOX_CAPACITY)?;
    let services = find_services(kernel)?;

    let agreement_service = agreement::service::Service::new(
        options,
        journal,
        services.registry.clone(),
        kernel
            .registry()
            .lookup::<agreement::outgoing::Outgoing>(name::OUTBOUND)?,
        failure_sender,
    );
    kernel.start(name::AGREEMENT, |stop| {
        agreement_service.run(agreement, stop)
    });
    if !options.seeds.is_empty() {
        let outbound = kernel.registry().lookup(name::OUTBOUND)?;
        let join_task = join::Requester::new(options, services.log.clone(), outbound);
        kernel.start(name::JOIN, |stop| join_task.run(stop));
    }
    let outbound_service = outbound::service::Service::new(options.credential.clone());
    kernel.start(name::OUTBOUND, |stop| outbound_service.run(outbound, stop));
    let registry_service = registry::service::Service::new(
        services.quota.clone(),
        services.liveness.clone(),
        services.metrics.clone(),
    );
    kernel.start(name::REGISTRY, |stop| registry_service.run(registry, stop));
    let sweeping = services.clone();
    kernel.start(name::RETENTION, |stop| registry::sweep::run(sweeping, stop));
    kernel.start(name::QUOTA, |stop| {
        quota::service::Service::new().run(quota, stop)
    });
    kernel.start(name::LIVENESS, |stop| {
        liveness::service::Service::new().run(liveness, stop)
    });
    let expiring = services.clone();
    kernel.start(name::EXPIRY, |stop| liveness::expiry::run(expiring, stop));
    Ok(services)
}

/// Looks up the addresses of the registered services.
fn find_services(kernel: &kernel::Kernel) -> Result<services::Services, error::Error> {
    let found = kernel.registry();
    let log = agreement::client::Client::new(found.lookup(name::AGREEMENT)?);
    let registry = found.lookup(name::REGISTRY)?;
    Ok(services::Services {
        commands: registry::client::Client::new(log.clone(), registry.clone()),
        log,
        registry,
        quota: found.lookup(name::QUOTA)?,
        liveness: found.lookup(name::LIVENESS)?,
        metrics: metrics::Metrics::new()?,
    })
}

/// Starts the accept loops of the three ports.
fn start_listeners(
    kernel: &mut kernel::Kernel,
    listeners: Listeners,
    services: &services::Services,
    options: options::Options,
) {
    let (shared, credential) = (services.clone(), options.credential);
    kernel.start(name::MEMBER, |stop| {
        listeners.member.run(stop, move |connection| {
            member::port::serve(connection, shared.clone(), credential.clone())
        })
    });
    let (shared, credentials) = (services.clone(), Rc::from(options.operators));
    kernel.start(name::OPERATOR, |stop| {
        listeners.operator.run(stop, move |connection| {
            operator::port::serve(connection, shared.clone(), Rc::clone(&credentials))
        })
    });
    let shared = services.clone();
    kernel.start(name::ADMIN, |stop| {
        listeners.admin.run(stop, move |connection| {
            admin::port::serve(connection, shared.clone())
        })
    });
}
