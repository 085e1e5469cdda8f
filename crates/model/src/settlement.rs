//! How a claimed request ended.

use serde::{Deserialize, Serialize};

use crate::answer;

/// How a claimed request ended, as its holder knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// It did not run; the claim is removed.
    NotRun,
    /// It ran; the answer is kept unless it was too large.
    Done(Option<answer::Answer>),
    /// It cannot be known whether it ran.
    Unknown,
}
