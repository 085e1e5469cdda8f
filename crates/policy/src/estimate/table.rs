//! Service times of all kinds of work.

use std::hash::Hash;
use std::time::{Duration, Instant};

use masticarch_model::map;

use super::kind;

/// Most kinds of work that are told apart.
pub const MAX_KINDS: usize = 64;
/// Time without a sample after which a kind is forgotten.
pub const RETENTION: Duration = Duration::from_mins(1);

/// Service times by kind of work; `K` names a kind.
#[derive(Clone, Debug)]
pub struct Table<K> {
    kinds: map::Map<K, kind::Kind>,
}

impl<K> Default for Table<K> {
    fn default() -> Self {
        Self {
            kinds: map::Map::default(),
        }
    }
}

impl<K: Clone + Eq + Hash> Table<K> {
    /// Mean service time of a kind; `None` before its first sample.
    #[must_use]
    pub fn service_time(&self, kind: &K) -> Option<Duration> {
        self.kinds.get(kind).map(kind::Kind::mean)
    }

    /// Mean service time of the slowest kind; zero without samples.
    #[must_use]
    pub fn longest(&self) -> Duration {
        let means = self.kinds.values().map(kind::Kind::mean);
        means.max().unwrap_or_default()
    }

    /// Mean service time over the recent mix of kinds; zero without samples.
    #[must_use]
    pub fn mean(&self, now: Instant) -> Duration {
        let mut seconds = 0.0;
        let mut count = 0.0;
        for kind in self.kinds.values() {
            seconds += kind.count(now) * kind.mean().as_secs_f64();
            count += kind.count(now);
        }
        Duration::from_secs_f64(if count > 0.0 { seconds / count } else { 0.0 })
    }

    /// What a service time would be if the request were of the mean kind. A change of the
    /// mix leaves these times as they are; a target that becomes slower increases them.
    #[must_use]
    pub fn normalise(&self, kind: &K, sample: Duration, now: Instant) -> Duration {
        scale(sample, self.mean(now), self.service_time(kind))
    }

    /// Adds the service time of a request.
    pub fn add(&mut self, kind: &K, sample: Duration, now: Instant) {
        if !self.kinds.contains_key(kind) {
            self.make_room(now);
        }
        let entry = self.kinds.entry(kind.clone());
        entry
            .or_insert_with(|| kind::Kind::new(now))
            .add(sample, now);
    }

    /// Number of kinds that are told apart.
    #[must_use]
    pub fn len(&self) -> usize {
        self.kinds.len()
    }

    /// Whether there are no samples.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }

    fn make_room(&mut self, now: Instant) {
        self.kinds.retain(|_, kind| kind.idle_time(now) < RETENTION);
        if self.kinds.len() < MAX_KINDS {
            return;
        }
        let idle_time = |(_, kind): &(&K, &kind::Kind)| kind.idle_time(now);
        let oldest = self.kinds.iter().max_by_key(idle_time);
        if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
            self.kinds.remove(&oldest);
        }
    }
}

/// Multiplies `time` by the ratio of `to` and `from`; `time` itself where that is unknown.
fn scale(time: Duration, to: Duration, from: Option<Duration>) -> Duration {
    let from = from.map_or(0.0, |from| from.as_secs_f64());
    if from <= 0.0 || to.is_zero() {
        return time;
    }
    let seconds = time.as_secs_f64() * (to.as_secs_f64() / from);
    Duration::try_from_secs_f64(seconds).unwrap_or(time)
}
