//! Load balancing over the targets of one service.

use std::time::Duration;

use fastrand::Rng;

use crate::route::{load, locality};

/// Random draws of a target before all targets are searched for a usable one.
const MAX_RANDOM_DRAWS: usize = 4;
/// By how much the cost of a remote target must be lower than that of one in the
/// region. With a margin below the latency between regions, traffic would switch
/// between regions with every change of load.
const SPILL_MARGIN: Duration = Duration::from_millis(12);

/// The serving targets of one service by locality; `K` is the key of a target.
#[derive(Clone, Debug)]
pub struct Pool<K> {
    /// Targets in the node's failure domain.
    domain: Vec<K>,
    /// Targets in the node's region, including those in its failure domain.
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

    /// All targets.
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

    /// Chooses the cheaper of two random usable targets in the failure domain or,
    /// if that one is busy, of two in the region. A remote target is chosen when
    /// the region has no usable one, or when the one from the region is busy and
    /// the remote one is cheaper by `SPILL_MARGIN`: links between regions are
    /// narrow and billed.
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

/// The cheaper of two random usable keys (power of two choices).
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

/// A random usable key. All keys are searched only when [`MAX_RANDOM_DRAWS`] draws
/// find none, so that the usual cost does not grow with the number of targets.
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
