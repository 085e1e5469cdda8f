//! Times of last contact and of joins. The caller passes the current time.

use std::time::{Duration, Instant};

use masticarch_model::{incarnation, map, name, version};
use masticarch_wire::message::sync;

use super::message;

/// Time without contact after which a node is removed (section 3.8 of the design
/// page). A new leader starts it anew for each node.
pub const EXPIRY: Duration = Duration::from_secs(3);
/// A node that joins again within this time after its last join is damped.
pub const FLAP_WINDOW: Duration = Duration::from_secs(10);
/// Minimum time from a join of a node to its next join, and to the announcements of
/// the joined incarnation if that is damped.
pub const DAMPING: Duration = Duration::from_secs(2);
/// Time between two checks for silent nodes above which this process must have been
/// suspended. Contacts may then be waiting unread, so that no node counts as silent.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);

/// The last contact with one incarnation.
#[derive(Clone, Debug)]
struct Contact {
    time: Instant,
    /// Version that the node held.
    held: version::Version,
    loads: Vec<sync::Load>,
}

/// The last join of a node.
#[derive(Clone, Copy, Debug)]
struct Join {
    time: Instant,
    /// Time until which announcements are delayed; that of the join if the node is
    /// not damped.
    damped_until: Instant,
}

/// Times of last contact by incarnation, and of the last join by name.
#[derive(Clone, Debug)]
pub struct Contacts {
    /// Time that counts as the last contact with every node that has had no later
    /// contact.
    since: Instant,
    /// Time of the last check for silent nodes.
    last_check: Instant,
    latest: map::Map<incarnation::Incarnation, Contact>,
    joins: map::Map<name::Name, Join>,
}

impl Contacts {
    /// Starts without contacts; `now` counts as the last contact with every node.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            since: now,
            last_check: now,
            latest: map::Map::default(),
            joins: map::Map::default(),
        }
    }

    /// Counts `now` as the last contact with every node, for a process that starts
    /// to lead.
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

    /// Records the join of a new incarnation, and whether it is damped.
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

    /// Remaining delay of a node's announcements; zero when they are accepted.
    #[must_use]
    pub fn damping(&self, now: Instant, name: &name::Name) -> Duration {
        let join = self.joins.get(name);
        join.map_or(Duration::ZERO, |join| {
            join.damped_until.saturating_duration_since(now)
        })
    }

    /// Remaining delay of the join of a new incarnation; zero when it is accepted.
    /// It lets a process that keeps restarting change the fleet at most once in
    /// [`DAMPING`].
    #[must_use]
    pub fn join_delay(&self, now: Instant, name: &name::Name) -> Duration {
        let join = self.joins.get(name);
        join.map_or(Duration::ZERO, |join| {
            (join.time + DAMPING).saturating_duration_since(now)
        })
    }

    /// Returns those of the given nodes that have been silent for [`EXPIRY`], and
    /// drops records that are older than [`FLAP_WINDOW`].
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
        nodes.retain(|(_, incarnation)| self.time_since_contact(now, *incarnation) >= EXPIRY);
        self.latest
            .retain(|_, contact| now.saturating_duration_since(contact.time) < FLAP_WINDOW);
        self.joins
            .retain(|_, join| now.saturating_duration_since(join.time) < FLAP_WINDOW);
        nodes
    }

    /// Returns the last contact with each node, and what the node then reported.
    #[must_use]
    pub fn last_contacts(&self, now: Instant) -> Vec<message::LastContact> {
        let last_contact =
            |(incarnation, contact): (&incarnation::Incarnation, &Contact)| message::LastContact {
                incarnation: *incarnation,
                held: contact.held,
                silent: now.saturating_duration_since(contact.time),
                loads: contact.loads.clone(),
            };
        self.latest.iter().map(last_contact).collect()
    }

    fn time_since_contact(&self, now: Instant, incarnation: incarnation::Incarnation) -> Duration {
        let contact = self.latest.get(&incarnation);
        let last = contact.map_or(self.since, |contact| contact.time.max(self.since));
        now.saturating_duration_since(last)
    }
}
