//! The service that keeps the local targets.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::future::{self, Either};
use masticarch_kernel::{address, mailbox, stop};
use masticarch_model::{map, name, target};

use super::{announcement, instance, message, pool};
use crate::admission;

/// A target that has not renewed its announcement for this long is gone.
pub const EXPIRY: Duration = Duration::from_secs(3);
/// Time between two looks for expired announcements.
const LOOK: Duration = Duration::from_millis(250);

struct Entry {
    announcement: announcement::Announcement,
    renewed: Instant,
}

struct Targets {
    admission: address::Address<admission::message::Message>,
    entries: map::Map<name::Name, Entry>,
    /// The last run of each service that has withdrawn.
    ended: map::Map<name::Name, instance::Instance>,
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
        ended: map::Map::default(),
        expiry,
        pools: map::Map::default(),
    };
    let mut look = monoio::time::interval(LOOK);
    let mut stopped = std::pin::pin!(stop.wait());
    loop {
        let next = std::pin::pin!(mailbox.receive());
        let tick = std::pin::pin!(look.tick());
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
            message::Message::Withdraw(service, run) => self.withdraw(&service, run).await,
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
        if self.is_late(&service, &announcement) {
            return;
        }
        let limit = usize::try_from(announcement.connections).unwrap_or(usize::MAX);
        let known = self.entries.get(&service);
        let same = known.is_some_and(|entry| entry.announcement.is_like(&announcement));
        let entry = Entry {
            announcement: announcement.clone(),
            renewed: Instant::now(),
        };
        let before = self.entries.insert(service.clone(), entry);
        if same {
            return;
        }
        if let Some(before) = before.filter(|one| one.announcement.address != announcement.address)
        {
            self.pools.remove(&before.announcement.address);
        }
        let pool = self.pools.entry(announcement.address).or_default();
        if !pool.is_of(announcement.run()) {
            *pool = pool::Pool::new(announcement.run());
        }
        pool.set_limit(limit);
        self.tell(announcement.target(service), Some(announcement.address))
            .await;
    }

    /// Whether an announcement was overtaken by a later one, or is of a run that
    /// has withdrawn.
    fn is_late(&self, service: &name::Name, announcement: &announcement::Announcement) -> bool {
        let Some(instance) = &announcement.instance else {
            return false;
        };
        let known = self.entries.get(service);
        let known = known.and_then(|entry| entry.announcement.instance.as_ref());
        let ended = self.ended.get(service);
        known.is_some_and(|known| instance.is_before(known))
            || ended.is_some_and(|ended| instance.started_ms <= ended.started_ms)
    }

    async fn withdraw(&mut self, service: &name::Name, run: Option<Box<str>>) {
        let known = self.entries.get(service);
        let known = known.and_then(|entry| entry.announcement.instance.clone());
        let other = |run: &str| known.as_ref().is_some_and(|known| *known.id != *run);
        if run.as_deref().is_some_and(other) {
            return;
        }
        if let Some(known) = known.filter(|_| run.is_some()) {
            self.ended.insert(service.clone(), known);
        }
        self.retract(service).await;
    }

    async fn retract(&mut self, service: &name::Name) {
        if let Some(entry) = self.entries.remove(service) {
            self.pools.remove(&entry.announcement.address);
            self.tell(entry.announcement.target(service.clone()), None)
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
            self.retract(&service).await;
        }
    }

    async fn tell(&self, target: target::Target, address: Option<SocketAddr>) {
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
