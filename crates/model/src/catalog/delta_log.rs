//! The latest published deltas.

use std::collections::VecDeque;

use crate::{delta, version};

/// Deltas kept: at 10,000 configuration changes and 1,200 restarts a day, more
/// than a day of changes.
pub const KEPT: usize = 20_000;

/// The latest published deltas, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct DeltaLog {
    /// Every delta after this version is kept.
    floor: version::Version,
    entries: VecDeque<(version::Version, delta::Delta)>,
}

impl DeltaLog {
    /// Makes an empty log whose deltas start after a version.
    pub const fn starting_at(floor: version::Version) -> Self {
        Self {
            floor,
            entries: VecDeque::new(),
        }
    }

    /// Appends a delta, and drops the oldest above [`KEPT`].
    pub fn push(&mut self, version: version::Version, delta: delta::Delta) {
        self.entries.push_back((version, delta));
        if self.entries.len() > KEPT
            && let Some((dropped, _)) = self.entries.pop_front()
        {
            self.floor = dropped;
        }
    }

    /// Version of the newest delta; the floor when there is none.
    pub fn newest(&self) -> version::Version {
        self.entries
            .back()
            .map_or(self.floor, |(version, _)| *version)
    }

    /// Deltas after a version; `None` when some of them are no longer kept.
    pub fn since(&self, held: version::Version) -> Option<Vec<delta::Delta>> {
        if held < self.floor {
            return None;
        }
        let start = self
            .entries
            .partition_point(|(version, _)| *version <= held);
        let newer = self.entries.range(start..);
        Some(newer.map(|(_, delta)| delta.clone()).collect())
    }
}
