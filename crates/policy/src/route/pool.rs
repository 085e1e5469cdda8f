//! The targets of one service as seen from one node.

use std::time::Duration;

use fastrand::Rng;

use crate::route::{load, locality};

/// Random draws before all targets are looked at for a usable one.
const MAX_RANDOM_DRAWS: usize = 4;
/// By how much a remote target must be cheaper than a near one; below the
/// latency between regions, spilling flaps with every change of load.
const SPILL_MARGIN: Duration = Duration::from_millis(12);

/// The serving targets of one service, by distance; `K` is a `Copy` key.
#[derive(Clone, Debug)]
pub struct Pool<K> {
    /// Those of the same failure domain.
    domain: Vec<K>,
    /// Those of the region, of the same failure domain as well.
    region: Vec<K>,
    remote: Vec<K>,
}

impl<K> Default for Pool<K> {
    fn default() -> Self {
        Self {
            domain: Vec::new(),
            region: Vec::new(),
            remote: Vec::new(),
        }
    }
}

impl<K: Copy + PartialEq> Pool<K> {
    /// Adds a target.
    pub fn add(&mut self, key: K, locality: locality::Locality) {
        match locality {
            locality::Locality::Remote => self.remote.push(key),
            locality::Locality::Region => self.region.push(key),
            locality::Locality::Domain => {
                self.domain.push(key);
                self.region.push(key);
            }
        }
    }

    /// Every target.
    pub fn iter(&self) -> impl Iterator<Item = K> + '_ {
        self.region.iter().chain(&self.remote).copied()
    }

    /// Number of targets.
    #[must_use]
    pub fn len(&self) -> usize {
        self.region.len() + self.remote.len()
    }

    /// Whether there are no targets.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.region.is_empty() && self.remote.is_empty()
    }

    /// Chooses the cheaper of two random usable targets in the failure domain; if
    /// it is busy, of two in the region. A remote one is taken when there is none,
    /// or when those in the region are busy and it is cheaper by a margin: links
    /// between regions are narrow and billed.
    pub fn choose(
        &self,
        rng: &mut Rng,
        usable: impl Fn(K) -> bool,
        load: impl Fn(K) -> load::Load,
    ) -> Option<K> {
        let domain = choose_cheaper_of_two(&self.domain, rng, &usable, &load);
        if domain.is_some_and(|key| !load(key).is_busy()) {
            return domain;
        }
        let region = choose_cheaper_of_two(&self.region, rng, &usable, &load);
        if region.is_some_and(|key| !load(key).is_busy()) {
            return region;
        }
        let remote = choose_cheaper_of_two(&self.remote, rng, &usable, &load);
        match (region, remote) {
            (Some(near), Some(far)) => {
                let spill = load(far).cost() + SPILL_MARGIN < load(near).cost();
                Some(if spill { far } else { near })
            }
            (near, far) => near.or(far),
        }
    }
}

/// Power of two choices on the cost.
fn choose_cheaper_of_two<K: Copy + PartialEq>(
    keys: &[K],
    rng: &mut Rng,
    usable: &impl Fn(K) -> bool,
    load: &impl Fn(K) -> load::Load,
) -> Option<K> {
    let first = choose_random(keys, rng, usable)?;
    let second = choose_random(keys, rng, |key| key != first && usable(key));
    let better = second.filter(|key| load(*key).cost() < load(first).cost());
    better.or(Some(first))
}

/// A random usable key. Looks at all keys only when some draws find none, so
/// that the usual cost does not grow with the number of targets.
fn choose_random<K: Copy>(keys: &[K], rng: &mut Rng, usable: impl Fn(K) -> bool) -> Option<K> {
    if keys.is_empty() {
        return None;
    }
    for _ in 0..MAX_RANDOM_DRAWS {
        let key = keys[rng.usize(..keys.len())];
        if usable(key) {
            return Some(key);
        }
    }
    let start = rng.usize(..keys.len());
    let (before, after) = keys.split_at(start);
    after.iter().chain(before).copied().find(|key| usable(*key))
}
