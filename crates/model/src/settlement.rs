//! Results with which claims are settled.

use serde::{Deserialize, Serialize};

use crate::answer;

/// How a claimed request ended, as far as the holder of the claim knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// The request did not run; the claim is removed.
    NotRun,
    /// The request ran. `None` when the response was too large to keep.
    Done(Option<answer::Answer>),
    /// It cannot be known whether the request ran.
    Unknown,
}
