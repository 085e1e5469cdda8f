//! Withdrawal of a target.

use serde::{Deserialize, Serialize};

use super::instance;

/// Body of `DELETE /targets/{service}`: the run that withdraws, as far as the target
/// names it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Withdrawal {
    /// Id of the run.
    #[serde(default)]
    pub id: Option<Box<str>>,
    /// Start of the run, in milliseconds of Unix time.
    #[serde(default)]
    pub started_ms: Option<u64>,
}

impl Withdrawal {
    /// Whether the withdrawal names the run.
    #[must_use]
    pub const fn names_run(&self) -> bool {
        self.id.is_some() || self.started_ms.is_some()
    }

    /// Whether another run than this one withdraws. A run is another one only if the
    /// withdrawal says so.
    #[must_use]
    pub fn is_of_other(&self, instance: &instance::Instance) -> bool {
        let other_id = self.id.as_ref().is_some_and(|id| *id != instance.id);
        let other_start = self
            .started_ms
            .is_some_and(|started| started != instance.started_ms);
        other_id || other_start
    }
}
