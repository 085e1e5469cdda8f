//! Runs of a target that have withdrawn.

use super::instance;

/// A run that has withdrawn, and whose start the withdrawal did not name.
#[derive(Debug)]
struct Unnamed {
    id: Box<str>,
    /// Latest time at which it can have started, in milliseconds of Unix time.
    until_ms: u64,
}

/// The runs of one service that have withdrawn. Announcements of them may still
/// arrive, because a target does not wait for their delivery.
#[derive(Debug, Default)]
pub struct Departed {
    /// Latest start of a withdrawn run.
    started_ms: Option<u64>,
    unnamed: Option<Unnamed>,
}

impl Departed {
    /// Adds the run that started at this time.
    pub fn add_run(&mut self, started_ms: u64) {
        self.started_ms = self.started_ms.max(Some(started_ms));
    }

    /// Time before or at which the withdrawn runs have started. For one that did not name
    /// its start it is the latest possible one.
    pub fn until_ms(&self) -> Option<u64> {
        let unnamed = self.unnamed.as_ref().map(|unnamed| unnamed.until_ms);
        self.started_ms.max(unnamed)
    }

    /// Adds the run with this id that started at `until_ms` or earlier.
    pub fn add_unnamed(&mut self, id: Box<str>, until_ms: u64) {
        self.unnamed = Some(Unnamed { id, until_ms });
    }

    /// Whether the run of an announcement has withdrawn, or ended before one that has. A
    /// run that started earlier may still be alive, as the clock may have been stepped back
    /// before its start.
    pub fn contains(&self, instance: &instance::Instance, is_alive: bool) -> bool {
        let ended = self.started_ms.is_some_and(|started| {
            instance.started_ms == started || instance.started_ms < started && !is_alive
        });
        let unnamed = self.unnamed.as_ref().is_some_and(|unnamed| {
            unnamed.id == instance.id && instance.started_ms <= unnamed.until_ms
        });
        ended || unnamed && !is_alive
    }
}
