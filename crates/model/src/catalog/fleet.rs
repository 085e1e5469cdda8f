//! Which incarnations of which nodes are present.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{incarnation, map, name, node};

/// Replaced incarnations that are remembered: over a week at 1,200 restarts a
/// day. A delayed message of a replaced incarnation is seconds old.
const KEPT: usize = 10_000;

/// What a join means for the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Joining {
    /// The incarnation is present already.
    Present,
    /// No node of this name is present.
    New,
    /// The join replaces this earlier incarnation.
    Replaces(incarnation::Incarnation),
    /// A later incarnation has replaced this one; it may not come back.
    Replaced,
}

/// The present incarnations, and those that were replaced by a later one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Fleet {
    by_name: map::Map<name::Name, incarnation::Incarnation>,
    present: map::Set<incarnation::Incarnation>,
    replaced: VecDeque<incarnation::Incarnation>,
    draining: map::Set<incarnation::Incarnation>,
}

impl Fleet {
    /// Whether an incarnation is present.
    pub fn has(&self, incarnation: incarnation::Incarnation) -> bool {
        self.present.contains(&incarnation)
    }

    /// Whether a node is present with this incarnation.
    pub fn is_at(&self, name: &name::Name, incarnation: incarnation::Incarnation) -> bool {
        self.by_name.get(name) == Some(&incarnation)
    }

    /// Adds a node unless a later incarnation has replaced it. An incarnation
    /// that only expired may join again, as after a network partition.
    pub fn join(&mut self, node: &node::Node) -> Joining {
        let incarnation = node.incarnation;
        if self.replaced.contains(&incarnation) {
            return Joining::Replaced;
        }
        if !self.present.insert(incarnation) {
            return Joining::Present;
        }
        match self.by_name.insert(node.name.clone(), incarnation) {
            Some(earlier) => {
                self.replace(earlier);
                Joining::Replaces(earlier)
            }
            None => Joining::New,
        }
    }

    /// Removes a node if it has this incarnation; tells whether it had.
    pub fn leave(&mut self, name: &name::Name, incarnation: incarnation::Incarnation) -> bool {
        if !self.is_at(name, incarnation) {
            return false;
        }
        self.by_name.remove(name);
        self.present.remove(&incarnation)
    }

    /// Marks the present incarnation of a node as draining, and returns it.
    pub fn drain(&mut self, name: &name::Name) -> Option<incarnation::Incarnation> {
        let incarnation = *self.by_name.get(name)?;
        self.draining.insert(incarnation);
        Some(incarnation)
    }

    /// Whether an operator has asked an incarnation to drain.
    pub fn is_draining(&self, incarnation: incarnation::Incarnation) -> bool {
        self.draining.contains(&incarnation)
    }

    fn replace(&mut self, earlier: incarnation::Incarnation) {
        self.present.remove(&earlier);
        self.draining.remove(&earlier);
        self.replaced.push_back(earlier);
        if self.replaced.len() > KEPT {
            self.replaced.pop_front();
        }
    }
}
