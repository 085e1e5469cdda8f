//! A crash of a target, as far as the node beside it can tell.

use masticarch_model::name;
use masticarch_policy::quarantine::suspect;

/// A crash of a target beside this node.
#[derive(Clone, Debug)]
pub struct Crash {
    /// Service of the target.
    pub service: name::Name,
    /// The run that ended, if the target identifies its runs.
    pub run: Option<Box<str>>,
    /// The requests that ran there, each content once.
    pub suspects: Vec<suspect::Suspect>,
}
