//! The part of the replicated state that nodes receive.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{configuration, delta, name, node, target, version};

/// A node with its targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The node.
    pub node: node::Node,
    /// Its targets.
    pub targets: Vec<target::Target>,
}

/// Configuration and membership at one version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Log index up to which the view is complete.
    pub version: version::Version,
    /// Version at which the configuration was last changed.
    pub configuration_version: version::Version,
    /// The objects that operators have configured.
    pub configuration: configuration::Configuration,
    /// Nodes and their targets.
    pub nodes: Vec<Entry>,
    /// Addresses of the control group's member ports; empty until its membership
    /// first changes.
    pub control: Vec<SocketAddr>,
}

impl View {
    /// Names of the priorities by rank, the highest first.
    #[must_use]
    pub fn priorities(&self) -> Vec<name::Name> {
        let priorities = &self.configuration.priorities;
        let mut ranked = Vec::with_capacity(priorities.len());
        let mut higher: Option<&name::Name> = None;
        while ranked.len() < priorities.len() {
            let next = priorities
                .iter()
                .find(|entry| entry.below.as_ref() == higher);
            let Some(next) = next else { break };
            ranked.push(next.name.clone());
            higher = Some(&next.name);
        }
        ranked
    }

    /// Applies one published delta. A delta about an incarnation that is not present
    /// has no effect.
    pub fn apply(&mut self, delta: &delta::Delta) {
        match delta {
            delta::Delta::Configuration(version, edits) => {
                for edit in edits {
                    // Published edits have been checked, so the only possible
                    // error is a delete of an object that is already absent.
                    let _ = self.configuration.edit(edit);
                }
                self.configuration_version = *version;
            }
            delta::Delta::Control(addresses) => self.control.clone_from(addresses),
            delta::Delta::Joined(node) => self.join(node),
            delta::Delta::Left(nodes) => {
                let left = |node: &node::Node| {
                    nodes.iter().any(|(name, incarnation)| {
                        *name == node.name && *incarnation == node.incarnation
                    })
                };
                self.nodes.retain(|entry| !left(&entry.node));
            }
            delta::Delta::Announced(name, incarnation, targets) => {
                let entry = self.nodes.iter_mut().find(|entry| entry.node.name == *name);
                if let Some(entry) = entry.filter(|entry| entry.node.incarnation == *incarnation) {
                    entry.targets.clone_from(targets);
                }
            }
        }
    }

    fn join(&mut self, node: &node::Node) {
        self.nodes.retain(|entry| entry.node.name != node.name);
        self.nodes.push(Entry {
            node: node.clone(),
            targets: Vec::new(),
        });
    }
}
