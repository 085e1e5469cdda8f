//! Runs of the local targets, as the control leader is told of them.

use masticarch_model::{renewal, run};

/// Runs of the local targets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Runs {
    /// Renewals of the announced targets that identify their runs.
    pub renewals: Vec<renewal::Renewal>,
    /// The last run of each service that is leaving or gone.
    pub departed: Vec<run::Run>,
}
