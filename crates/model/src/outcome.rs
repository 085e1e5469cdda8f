//! Results of commands.

use serde::{Deserialize, Serialize};

use crate::{claim, code, finding, version};

/// The result of applying one command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The change is accepted; the new version of the configuration.
    Changed(version::Version),
    /// The configuration has this other version.
    Conflict(version::Version),
    /// The change would make the configuration faulty.
    Faulty(Vec<finding::Finding>),
    /// The attempt holds the claim and may run the request.
    Claimed,
    /// Another attempt holds or held the claim.
    Held(claim::Claim),
    /// The command is refused.
    Refused(code::Code),
    /// The command is applied and has no further result.
    Applied,
}
