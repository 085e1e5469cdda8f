//! Results of commands.

use serde::{Deserialize, Serialize};

use crate::{claim, code, finding, version};

/// The result of applying one command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The change was accepted, and the configuration now has this version.
    Changed(version::Version),
    /// The change was based on another version than this one, which is current.
    Conflict(version::Version),
    /// The change would make the configuration faulty.
    Faulty(Vec<finding::Finding>),
    /// The attempt holds the claim and may run the request.
    Claimed,
    /// Another attempt holds the claim, or the claim is settled.
    Held(claim::Claim),
    /// The command is refused.
    Refused(code::Code),
    /// The command is applied and has no result of its own.
    Applied,
}

impl Outcome {
    /// Bytes that the result takes beyond its own size.
    #[must_use]
    pub fn detail_bytes(&self) -> usize {
        match self {
            Self::Faulty(findings) => findings.iter().map(finding::Finding::bytes).sum(),
            Self::Held(claim) => claim.answer_bytes(),
            Self::Changed(_)
            | Self::Conflict(_)
            | Self::Claimed
            | Self::Refused(_)
            | Self::Applied => 0,
        }
    }
}
