//! Results with which claims are settled.

use serde::{Deserialize, Serialize};

use crate::answer;

/// The end of a claimed request, as the holder of the claim reports it to settle the
/// claim. [`crate::claim::State`] is what the control group keeps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settlement {
    /// The request did not run; the claim is removed.
    NotRun,
    /// The request ran. `None` when its answer was too large to keep.
    Done(Option<answer::Answer>),
    /// It cannot be known whether the request ran.
    Unknown,
}
