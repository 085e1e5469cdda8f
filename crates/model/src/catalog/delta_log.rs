//! The latest deltas, from which nodes that are behind catch up.

use std::collections::VecDeque;

use crate::{delta, version};

/// Most deltas that are kept. With 10,000 configuration changes and 1,200 restarts
/// a day, they cover more than a day.
pub const MAX_DELTAS: usize = 20_000;

/// The latest published deltas with their versions, oldest first.
#[derive(Clone, Debug, Default)]
pub struct DeltaLog {
    /// Version after which all deltas are kept.
    floor: version::Version,
    entries: VecDeque<(version::Version, delta::Delta)>,
}

impl DeltaLog {
    /// Makes an empty log, for deltas after a version.
    pub const fn starting_at(floor: version::Version) -> Self {
        Self {
            floor,
            entries: VecDeque::new(),
        }
    }

    /// Appends a delta, and drops the oldest above [`MAX_DELTAS`].
    pub fn push(&mut self, version: version::Version, delta: delta::Delta) {
        self.entries.push_back((version, delta));
        if self.entries.len() > MAX_DELTAS
            && let Some((dropped, _)) = self.entries.pop_front()
        {
            self.floor = dropped;
        }
    }

    /// Version of the newest delta; `floor` when none is kept.
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
