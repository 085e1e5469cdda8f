//! A team as the gate keeps it: its leased share and its next check.

use std::time::Instant;

use masticarch_model::name;
use masticarch_policy::share::holder;
use slotmap::new_key_type;

use crate::gate::pending;

new_key_type! {
    /// Key of a team at this node, kept over changes of the directory.
    pub struct LocalKey;
}

/// A team with its leased share of the rate limit.
#[derive(Debug)]
pub struct Team {
    pub name: name::Name,
    pub holder: holder::Holder<pending::Pending>,
    /// When the holder is checked next; `None` when no request waits.
    pub wake: Option<Instant>,
}
