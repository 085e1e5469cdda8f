//! Runs of the local targets, as the control leader is told of them.

use masticarch_model::run;

/// Runs of the local targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Runs {
    /// Runs of the announced targets that identify them.
    pub announced: Vec<run::Run>,
    /// The last run of each service that is leaving or gone.
    pub departed: Vec<run::Run>,
}
