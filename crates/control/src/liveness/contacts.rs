//! Times of last contact and of joins, without a clock of its own.

use std::time::{Duration, Instant};

use masticarch_model::{incarnation, map, name, version};
use masticarch_wire::message::sync;

use super::message;

/// Time after which a silent node is removed (section 3.8 of the design page).
/// A new leader allows each node as much.
pub const EXPIRY: Duration = Duration::from_secs(3);
/// A node that joins again within this time is damped.
pub const FLAP_WINDOW: Duration = Duration::from_secs(10);
/// Time from one join of a node to the next, and to the next announcement of a
/// damped node.
pub const DAMPING: Duration = Duration::from_secs(2);
/// Time without a look at the contacts after which this process must have been
/// stopped: contacts may then be waiting unread, so that nobody is silent yet.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);

/// The last contact with one incarnation.
#[derive(Clone, Debug)]
struct Contact {
    time: Instant,
    held: version::Version,
    loads: Vec<sync::Load>,
}

/// The last join of a node.
#[derive(Clone, Copy, Debug)]
struct Join {
    time: Instant,
    /// Until when announcements are held back.
    damped_until: Instant,
}

/// Times of last contact by incarnation, and of the last join by name.
#[derive(Clone, Debug)]
pub struct Contacts {
    /// Nodes count as heard from at this time at the earliest.
    since: Instant,
    last_check: Instant,
    latest: map::Map<incarnation::Incarnation, Contact>,
    joins: map::Map<name::Name, Join>,
}

impl Contacts {
    /// Starts without contacts; every node counts as heard from now.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            last_check: now,
            latest: map::Map::default(),
            joins: map::Map::default(),
        }
    }

    /// Counts every node as heard from now, as when this process starts to
    /// lead.
    pub fn restart(&mut self, now: Instant) {
        self.since = now;
        self.last_check = now;
        self.latest.clear();
    }

    /// Records a contact.
    pub fn touch(&mut self, now: Instant, contact: message::Contact) {
        let latest = Contact {
            time: now,
            held: contact.held,
            loads: contact.loads,
        };
        self.latest.insert(contact.incarnation, latest);
    }

    /// Records the join of a new incarnation.
    pub fn join(&mut self, now: Instant, name: name::Name) {
        let earlier = self.joins.get(&name);
        let flapping =
            earlier.filter(|join| now.saturating_duration_since(join.time) < FLAP_WINDOW);
        let damped_until = flapping.map_or(now, |join| join.time + DAMPING);
        self.joins.insert(
            name,
            Join {
                time: now,
                damped_until,
            },
        );
    }

    /// The time for which announcements of a node are held back.
    #[must_use]
    pub fn damping(&self, now: Instant, name: &name::Name) -> Duration {
        let join = self.joins.get(name);
        join.map_or(Duration::ZERO, |join| {
            join.damped_until.saturating_duration_since(now)
        })
    }

    /// The time for which the join of a new incarnation is held back, so that a
    /// process that restarts all the time changes the fleet once in [`DAMPING`].
    #[must_use]
    pub fn join_delay(&self, now: Instant, name: &name::Name) -> Duration {
        let join = self.joins.get(name);
        join.map_or(Duration::ZERO, |join| {
            (join.time + DAMPING).saturating_duration_since(now)
        })
    }

    /// Those of the nodes that are silent for too long; the others and those
    /// who are not listed are forgotten when their time is over.
    #[must_use]
    pub fn silent(
        &mut self,
        now: Instant,
        mut nodes: Vec<(name::Name, incarnation::Incarnation)>,
    ) -> Vec<(name::Name, incarnation::Incarnation)> {
        if now.saturating_duration_since(self.last_check) > STALL_THRESHOLD {
            self.since = now;
        }
        self.last_check = now;
        nodes.retain(|(_, incarnation)| self.silence(now, *incarnation) >= EXPIRY);
        self.latest
            .retain(|_, contact| now.saturating_duration_since(contact.time) < FLAP_WINDOW);
        self.joins
            .retain(|_, join| now.saturating_duration_since(join.time) < FLAP_WINDOW);
        nodes
    }

    /// When each node was last heard from.
    #[must_use]
    pub fn silences(&self, now: Instant) -> Vec<message::Silence> {
        let silence =
            |(incarnation, contact): (&incarnation::Incarnation, &Contact)| message::Silence {
                incarnation: *incarnation,
                held: contact.held,
                silent: now.saturating_duration_since(contact.time),
                loads: contact.loads.clone(),
            };
        self.latest.iter().map(silence).collect()
    }

    fn silence(&self, now: Instant, incarnation: incarnation::Incarnation) -> Duration {
        let contact = self.latest.get(&incarnation);
        let last = contact.map_or(self.since, |contact| contact.time.max(self.since));
        now.saturating_duration_since(last)
    }
}
