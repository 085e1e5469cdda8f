//! A team's rate at this node.

use std::time::Instant;

use masticarch_model::name;
use masticarch_policy::share::holder;
use slotmap::new_key_type;

use crate::gate::pending;

new_key_type! {
    /// Copyable key of a team at this node, kept over changes of the directory.
    pub struct LocalKey;
}

/// A team's rate at this node.
#[derive(Debug)]
pub struct Team {
    pub name: name::Name,
    pub holder: holder::Holder<pending::Pending>,
    /// When the holder is looked at next.
    pub wake: Option<Instant>,
}
