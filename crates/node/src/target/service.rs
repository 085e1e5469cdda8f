//! The service that keeps the announcements of the local targets and the pools of
//! connections to them.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::future::{self, Either};
use masticarch_kernel::{address, mailbox, stop};
use masticarch_model::{map, name, target};

use super::{announcement, instance, message, pool};
use crate::admission;

/// Default time after which a target that has not renewed its announcement is removed.
pub const ANNOUNCEMENT_EXPIRY: Duration = Duration::from_secs(3);
/// Time between two searches for expired announcements.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

struct Entry {
    announcement: announcement::Announcement,
    renewed: Instant,
}

struct Targets {
    admission: address::Address<admission::message::Message>,
    entries: map::Map<name::Name, Entry>,
    /// The last instance of each service that has withdrawn.
    withdrawn: map::Map<name::Name, instance::Instance>,
    expiry: Duration,
    pools: map::Map<SocketAddr, pool::Pool>,
}

/// Runs the service until asked to stop.
pub async fn run(
    mut mailbox: mailbox::Mailbox<message::Message>,
    admission: address::Address<admission::message::Message>,
    expiry: Duration,
    stop: stop::Stop,
) {
    let mut targets = Targets {
        admission,
        entries: map::Map::default(),
        withdrawn: map::Map::default(),
        expiry,
        pools: map::Map::default(),
    };
    let mut sweep = monoio::time::interval(SWEEP_INTERVAL);
    let mut stopped = std::pin::pin!(stop.wait());
    loop {
        let next = std::pin::pin!(mailbox.receive());
        let tick = std::pin::pin!(sweep.tick());
        let event = future::select(next, tick);
        match future::select(stopped.as_mut(), event).await {
            Either::Right((Either::Left((Some(message), _)), _)) => targets.handle(message).await,
            Either::Right((Either::Right(_), _)) => targets.expire().await,
            _ => return,
        }
    }
}

impl Targets {
    async fn handle(&mut self, message: message::Message) {
        match message {
            message::Message::Announce(service, announcement) => {
                self.announce(service, announcement).await;
            }
            message::Message::Withdraw(service, id) => self.withdraw(&service, id).await,
            message::Message::List(reply) => {
                let _ = reply.send(self.list());
            }
            message::Message::Checkout(address, reply) => {
                let pool = self.pools.get_mut(&address);
                let slot = pool.and_then(|pool| pool.checkout(Instant::now()));
                if let Err(Some(slot)) = reply.send(slot) {
                    self.checkin(address, slot);
                }
            }
            message::Message::Checkin(address, slot) => self.checkin(address, slot),
        }
    }

    async fn announce(&mut self, service: name::Name, announcement: announcement::Announcement) {
        if self.is_outdated(&service, &announcement) {
            return;
        }
        let max_connections = usize::try_from(announcement.connections).unwrap_or(usize::MAX);
        let current = self.entries.get(&service);
        let unchanged =
            current.is_some_and(|entry| entry.announcement.is_equivalent(&announcement));
        let entry = Entry {
            announcement: announcement.clone(),
            renewed: Instant::now(),
        };
        let previous = self.entries.insert(service.clone(), entry);
        if unchanged {
            return;
        }
        if let Some(previous) =
            previous.filter(|previous| previous.announcement.address != announcement.address)
        {
            self.pools.remove(&previous.announcement.address);
        }
        let pool = self.pools.entry(announcement.address).or_default();
        if !pool.is_for(announcement.instance_id()) {
            *pool = pool::Pool::new(announcement.instance_id());
        }
        pool.set_max_connections(max_connections);
        self.notify_admission(announcement.target(service), Some(announcement.address))
            .await;
    }

    /// Whether an announcement was made before the current one, or its instance started
    /// no later than one that has withdrawn.
    fn is_outdated(&self, service: &name::Name, announcement: &announcement::Announcement) -> bool {
        let Some(instance) = &announcement.instance else {
            return false;
        };
        let current = self.entries.get(service);
        let current = current.and_then(|entry| entry.announcement.instance.as_ref());
        let withdrawn = self.withdrawn.get(service);
        current.is_some_and(|current| instance.is_before(current))
            || withdrawn.is_some_and(|withdrawn| instance.started_ms <= withdrawn.started_ms)
    }

    async fn withdraw(&mut self, service: &name::Name, id: Option<Box<str>>) {
        let current = self.entries.get(service);
        let current = current.and_then(|entry| entry.announcement.instance.clone());
        let other = |id: &str| current.as_ref().is_some_and(|current| *current.id != *id);
        if id.as_deref().is_some_and(other) {
            return;
        }
        if let Some(current) = current.filter(|_| id.is_some()) {
            self.withdrawn.insert(service.clone(), current);
        }
        self.remove(service).await;
    }

    async fn remove(&mut self, service: &name::Name) {
        if let Some(entry) = self.entries.remove(service) {
            self.pools.remove(&entry.announcement.address);
            self.notify_admission(entry.announcement.target(service.clone()), None)
                .await;
        }
    }

    async fn expire(&mut self) {
        let expired: Vec<name::Name> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.renewed.elapsed() > self.expiry)
            .map(|(service, _)| service.clone())
            .collect();
        for service in expired {
            tracing::info!(service = %service, "target stopped renewing its announcement");
            self.remove(&service).await;
        }
    }

    async fn notify_admission(&self, target: target::Target, address: Option<SocketAddr>) {
        let message = admission::message::Message::Target(target, address);
        let _ = self.admission.send(message).await;
    }

    fn list(&self) -> Vec<target::Target> {
        self.entries
            .iter()
            .map(|(service, entry)| entry.announcement.target(service.clone()))
            .collect()
    }

    fn checkin(&mut self, address: SocketAddr, slot: pool::Slot) {
        if let Some(pool) = self.pools.get_mut(&address) {
            pool.checkin(slot);
        }
    }
}
