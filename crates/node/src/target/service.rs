//! The service that keeps the announcements of the local targets and the pools of
//! connections to them.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

use futures::future::{self, Either};
use masticarch_kernel::{address, mailbox, stop};
use masticarch_model::{map, name, renewal, run, target};

use super::{announcement, departed, instance, message, pool, renewals, runs, withdrawal};
use crate::{admission, quarantine};

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
    quarantine: address::Address<quarantine::message::Message>,
    entries: map::Map<name::Name, Entry>,
    /// The runs of each service that announce themselves.
    renewals: map::Map<name::Name, renewals::Renewals>,
    /// The runs of each service that have withdrawn, whose later announcements are ignored.
    departed: map::Map<name::Name, departed::Departed>,
    /// The last run of each service that has stated that it is leaving; `None` if the
    /// target does not identify its runs.
    leaving: map::Map<name::Name, Option<Box<str>>>,
    /// The last run of each service that has announced or stated that it is leaving, as the
    /// control leader is told of it. It still renews its announcement.
    leaving_runs: map::Map<name::Name, run::Run>,
    expiry: Duration,
    pools: map::Map<SocketAddr, pool::Pool>,
}

/// Runs the service until asked to stop.
pub async fn run(
    mut mailbox: mailbox::Mailbox<message::Message>,
    admission: address::Address<admission::message::Message>,
    quarantine: address::Address<quarantine::message::Message>,
    expiry: Duration,
    stop: stop::Stop,
) {
    let mut targets = Targets {
        admission,
        quarantine,
        entries: map::Map::default(),
        renewals: map::Map::default(),
        departed: map::Map::default(),
        leaving: map::Map::default(),
        leaving_runs: map::Map::default(),
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
            message::Message::Withdraw(service, withdrawal) => {
                self.withdraw(&service, withdrawal).await;
            }
            message::Message::Leaving(service, run, reply) => {
                self.mark_leaving(service, run).await;
                let _ = reply.send(());
            }
            message::Message::List(reply) => {
                let _ = reply.send(self.list());
            }
            message::Message::Runs(reply) => {
                let _ = reply.send(self.runs());
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
        if let Some(instance) = &announcement.instance {
            let renewals = self.renewals.entry(service.clone()).or_default();
            renewals.add(instance, Instant::now(), self.expiry);
        }
        if self.is_outdated(&service, &announcement) {
            return;
        }
        match announcement.state {
            target::State::Draining => self.record_leaving(&service, &announcement, None),
            target::State::Serving => self.end_leaving(&service),
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
        if let Some(previous) = previous {
            self.end_previous(&service, &previous.announcement, &announcement)
                .await;
        }
        let pool = self.pools.entry(announcement.address).or_default();
        if !pool.is_for(announcement.instance.as_ref()) {
            *pool = pool::Pool::new(announcement.instance.clone());
        }
        pool.set_max_connections(max_connections);
        let target = self.target(&service, &announcement);
        let leaving = target.state == target::State::Draining;
        self.notify_quarantine(service, leaving).await;
        self.notify_admission(target, Some(announcement.address))
            .await;
    }

    /// Drops what is known of the previous announcement and does not hold for the next
    /// one. Admission learns of another run as of another target: the limits of the
    /// previous run do not apply to it.
    async fn end_previous(
        &mut self,
        service: &name::Name,
        previous: &announcement::Announcement,
        next: &announcement::Announcement,
    ) {
        if previous.address != next.address {
            self.pools.remove(&previous.address);
        }
        if !previous.is_same_run(next) {
            let restarted = quarantine::message::Message::Restarted(service.clone());
            let _ = self.quarantine.send(restarted).await;
            self.notify_admission(previous.target(service.clone()), None)
                .await;
        }
    }

    async fn mark_leaving(&mut self, service: name::Name, run: Option<Box<str>>) {
        let current = self.entries.get(&service);
        let current = current.map(|entry| entry.announcement.clone());
        if current.as_ref().is_some_and(|current| current.run() != run) {
            return;
        }
        let previous = self.leaving.insert(service.clone(), run.clone());
        if previous.as_ref() == Some(&run) {
            return;
        }
        tracing::info!(%service, run = run.as_deref(), "target has stated that it is leaving");
        if let Some(current) = current {
            self.record_leaving(&service, &current, Some(run::Run::OVER));
            let target = self.target(&service, &current);
            self.notify_quarantine(service, true).await;
            self.notify_admission(target, Some(current.address)).await;
        }
    }

    /// Remembers from which announcement on a run is leaving, for the control leader.
    fn record_leaving(
        &mut self,
        service: &name::Name,
        announcement: &announcement::Announcement,
        sequence: Option<u64>,
    ) {
        let Some(instance) = &announcement.instance else {
            return;
        };
        let sequence = sequence.unwrap_or(instance.sequence);
        let known = self.leaving_runs.get(service);
        let is_known = known.is_some_and(|known| {
            known.started_ms == instance.started_ms && sequence != run::Run::OVER
        });
        if !is_known {
            let run = run::Run {
                service: service.clone(),
                started_ms: instance.started_ms,
                sequence,
            };
            self.leaving_runs.insert(service.clone(), run);
        }
    }

    /// Forgets a drain that the target has called off.
    fn end_leaving(&mut self, service: &name::Name) {
        let known = self.leaving_runs.get(service);
        if known.is_some_and(|known| known.sequence != run::Run::OVER) {
            self.leaving_runs.remove(service);
        }
    }

    /// The target as it is published: as announced, but draining once its run has stated
    /// that it is leaving.
    fn target(
        &self,
        service: &name::Name,
        announcement: &announcement::Announcement,
    ) -> target::Target {
        let mut target = announcement.target(service.clone());
        if self.leaving.get(service) == Some(&announcement.run()) {
            target.state = target::State::Draining;
        }
        target
    }

    /// Whether an announcement was made before the current one, or is of a run that has
    /// withdrawn.
    fn is_outdated(&self, service: &name::Name, announcement: &announcement::Announcement) -> bool {
        let Some(instance) = &announcement.instance else {
            return false;
        };
        let current = self.entries.get(service);
        let current = current.and_then(|entry| entry.announcement.instance.as_ref());
        let departed = self.departed.get(service);
        let is_alive = self.renewal(service, instance).is_alive();
        current.is_some_and(|current| instance.is_before(current))
            || departed.is_some_and(|departed| departed.contains(instance, is_alive))
    }

    /// For how long a run has renewed its announcement.
    fn renewal(&self, service: &name::Name, instance: &instance::Instance) -> renewal::Renewal {
        let renewals = self.renewals.get(service);
        let heard = renewals.map(|renewals| renewals.heard(instance));
        let heard_ms = heard.unwrap_or_default().as_millis();
        renewal::Renewal {
            run: run::Run {
                service: service.clone(),
                started_ms: instance.started_ms,
                sequence: instance.sequence,
            },
            heard_ms: u64::try_from(heard_ms).unwrap_or(u64::MAX),
        }
    }

    async fn withdraw(&mut self, service: &name::Name, withdrawal: withdrawal::Withdrawal) {
        let entry = self.entries.get(service);
        let is_known = entry.is_some();
        let current = entry.and_then(|entry| entry.announcement.instance.clone());
        let is_other = current
            .as_ref()
            .is_some_and(|current| withdrawal.is_of_other(current));
        tracing::info!(%service, ?withdrawal, is_known, is_other, "target has withdrawn");
        if let Some(renewals) = self.renewals.get_mut(service) {
            renewals.retain(|instance| withdrawal.is_of_other(instance));
        }
        self.record_departure(service, withdrawal, current.as_ref());
        if !is_other {
            self.notify_quarantine(service.clone(), true).await;
            self.remove(service).await;
        }
    }

    /// Remembers which run has withdrawn, also if no announcement of it is known: this
    /// node may have started after the last one.
    fn record_departure(
        &mut self,
        service: &name::Name,
        withdrawal: withdrawal::Withdrawal,
        announced: Option<&instance::Instance>,
    ) {
        if !withdrawal.names_run() {
            return;
        }
        let departed = self.departed.entry(service.clone()).or_default();
        let withdrawn = announced.filter(|run| !withdrawal.is_of_other(run));
        let started_ms = withdrawn.map(|run| run.started_ms);
        if let Some(started_ms) = withdrawal.started_ms.or(started_ms) {
            departed.add_run(started_ms);
        } else if let Some(id) = withdrawal.id {
            // The announced run is another one, and follows the withdrawn run.
            let latest = announced.map_or(u64::MAX, |run| run.started_ms.saturating_sub(1));
            departed.add_unnamed(id, unix_ms().min(latest));
        }
    }

    async fn remove(&mut self, service: &name::Name) {
        if let Some(entry) = self.entries.remove(service) {
            self.pools.remove(&entry.announcement.address);
            if entry.announcement.instance.is_none() {
                self.leaving.remove(service);
            }
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

    async fn notify_quarantine(&self, service: name::Name, leaving: bool) {
        let announced = quarantine::message::Message::Announced { service, leaving };
        let _ = self.quarantine.send(announced).await;
    }

    fn list(&self) -> Vec<target::Target> {
        self.entries
            .iter()
            .map(|(service, entry)| self.target(service, &entry.announcement))
            .collect()
    }

    fn runs(&self) -> runs::Runs {
        let announced = self.entries.iter().filter_map(|(service, entry)| {
            let instance = entry.announcement.instance.as_ref()?;
            Some(self.renewal(service, instance))
        });
        let withdrawn = self.departed.iter().filter_map(|(service, departed)| {
            Some(run::Run {
                service: service.clone(),
                started_ms: departed.until_ms()?,
                sequence: run::Run::OVER,
            })
        });
        runs::Runs {
            renewals: announced.collect(),
            departed: withdrawn
                .chain(self.leaving_runs.values().cloned())
                .collect(),
        }
    }

    fn checkin(&mut self, address: SocketAddr, slot: pool::Slot) {
        if let Some(pool) = self.pools.get_mut(&address) {
            pool.checkin(slot);
        }
    }
}

/// The time of day in milliseconds of Unix time.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let ms = since.unwrap_or_default().as_millis();
    u64::try_from(ms).unwrap_or(u64::MAX)
}
