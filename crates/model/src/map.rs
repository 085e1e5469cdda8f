//! Hash maps and sets with a fast hasher.

use std::collections::{HashMap, HashSet};

use foldhash::fast;

/// A hash map with a fast, randomly seeded hasher.
pub type Map<K, V> = HashMap<K, V, fast::RandomState>;

/// A hash set with a fast, randomly seeded hasher.
pub type Set<T> = HashSet<T, fast::RandomState>;
