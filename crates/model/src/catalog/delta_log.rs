//! The latest deltas, from which nodes that are behind catch up.

use std::collections::VecDeque;

use crate::{delta, edit, version};

/// Most deltas that are kept. With 10,000 configuration changes and 1,200 restarts
/// a day, they cover more than a day.
pub const MAX_DELTAS: usize = 20_000;

/// Most objects that the kept deltas change together, because one delta may replace the
/// whole configuration. Nodes that lack more get the whole view.
pub const MAX_OBJECTS: usize = 100_000;

/// The latest published deltas with their versions, oldest first.
#[derive(Clone, Debug, Default)]
pub struct DeltaLog {
    /// Version after which all deltas are kept.
    floor: version::Version,
    entries: VecDeque<(version::Version, delta::Delta)>,
    /// Objects that `entries` change together.
    objects: usize,
}

impl DeltaLog {
    /// Makes an empty log, for deltas after a version.
    pub const fn starting_at(floor: version::Version) -> Self {
        Self {
            floor,
            entries: VecDeque::new(),
            objects: 0,
        }
    }

    /// Appends a delta, and drops the oldest above [`MAX_DELTAS`] and [`MAX_OBJECTS`].
    pub fn push(&mut self, version: version::Version, delta: delta::Delta) {
        self.objects += objects(&delta);
        self.entries.push_back((version, delta));
        while self.entries.len() > MAX_DELTAS || self.objects > MAX_OBJECTS {
            let Some((dropped, delta)) = self.entries.pop_front() else {
                return;
            };
            self.objects -= objects(&delta);
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

/// Number of objects that a delta changes.
fn objects(delta: &delta::Delta) -> usize {
    let delta::Delta::Configuration(_, edits) = delta else {
        return 1;
    };
    let objects = edits.iter().map(|edit| match edit {
        edit::Edit::Replace(whole) => whole.objects().count(),
        edit::Edit::Put(_) | edit::Edit::Delete(..) => 1,
    });
    objects.sum()
}
