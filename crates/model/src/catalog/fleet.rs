//! The nodes that are present in the fleet, by name and by incarnation.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::{incarnation, map, name, node, target, view};

/// Most replaced incarnations that are kept, those of over a week at 1,200 restarts
/// a day. They are needed for seconds only, the delay of a message from a replaced
/// incarnation.
const MAX_REPLACED: usize = 10_000;

/// The result of a join.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Joining {
    /// The same node was present already; nothing changed.
    Present,
    /// The node was added: none of its name was present, or its incarnation was
    /// present with another address or place.
    New,
    /// The node was added in place of this earlier incarnation.
    Replaces(incarnation::Incarnation),
    /// The node was not added: a later incarnation has replaced it, and a replaced
    /// incarnation may not join again.
    Superseded,
}

/// The present nodes with their targets, and the incarnations that a later one has
/// replaced. [`view::View`] holds the same nodes as a list. With the maps here,
/// the cost of renewing a node's membership does not depend on the number of nodes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Fleet {
    entries: map::Map<name::Name, view::Entry>,
    present: map::Set<incarnation::Incarnation>,
    replaced: VecDeque<incarnation::Incarnation>,
    draining: map::Set<incarnation::Incarnation>,
}

impl Fleet {
    /// Whether an incarnation is present.
    pub fn is_present(&self, incarnation: incarnation::Incarnation) -> bool {
        self.present.contains(&incarnation)
    }

    /// A present node with its targets.
    pub fn entry(&self, name: &name::Name) -> Option<&view::Entry> {
        self.entries.get(name)
    }

    /// Whether the node of this name is present with this incarnation.
    pub fn has(&self, name: &name::Name, incarnation: incarnation::Incarnation) -> bool {
        let entry = self.entry(name);
        entry.is_some_and(|entry| entry.node.incarnation == incarnation)
    }

    /// Sets the targets of a present node.
    pub fn announce(&mut self, name: &name::Name, targets: &[target::Target]) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.targets = targets.to_vec();
        }
    }

    /// Adds a node unless a later incarnation has replaced it. An incarnation
    /// that only expired may join again, as after a network partition.
    pub fn join(&mut self, node: &node::Node) -> Joining {
        let incarnation = node.incarnation;
        if self.replaced.contains(&incarnation) {
            return Joining::Superseded;
        }
        if !self.present.insert(incarnation) && self.is_unchanged(node) {
            return Joining::Present;
        }
        let entry = view::Entry {
            node: node.clone(),
            targets: Vec::new(),
        };
        let earlier = self.entries.insert(node.name.clone(), entry);
        match earlier.map(|entry| entry.node.incarnation) {
            Some(earlier) if earlier != incarnation => {
                self.replace(earlier);
                Joining::Replaces(earlier)
            }
            _ => Joining::New,
        }
    }

    fn is_unchanged(&self, node: &node::Node) -> bool {
        let entry = self.entry(&node.name);
        entry.is_some_and(|entry| entry.node == *node)
    }

    /// Removes a node if it has this incarnation; returns whether it had.
    pub fn remove(&mut self, name: &name::Name, incarnation: incarnation::Incarnation) -> bool {
        if !self.has(name, incarnation) {
            return false;
        }
        self.entries.remove(name);
        self.draining.remove(&incarnation);
        self.present.remove(&incarnation)
    }

    /// Marks the present incarnation of a node as draining, and returns it; `None`
    /// when the node is not present.
    pub fn drain(&mut self, name: &name::Name) -> Option<incarnation::Incarnation> {
        let incarnation = self.entry(name)?.node.incarnation;
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
        if self.replaced.len() > MAX_REPLACED {
            self.replaced.pop_front();
        }
    }
}
