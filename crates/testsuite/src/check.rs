//! Checks of recorded operations and observations against the reported history.
//! Each check returns one line per violation.

use std::collections::{HashMap, HashSet};

use masticarch_model::{configuration, version};
use masticarch_wire::message::operator;

use crate::{operation, watch};

/// What the leader reports at the end of a test, against which a record is checked.
pub struct Report {
    /// All accepted changes, the newest first.
    pub history: Vec<operator::Entry>,
    /// The current configuration.
    pub configuration: configuration::Configuration,
}

/// Checks that no acknowledged change is lost, that no change is applied twice or
/// to another version than it expected, and that no refused change is applied.
#[must_use]
pub fn changes(operations: &[operation::Operation], report: &Report) -> Vec<String> {
    let mut violations = history(&report.history);
    let entries: HashMap<_, _> = report
        .history
        .iter()
        .map(|entry| (entry.id, entry))
        .collect();
    let predecessors = predecessors(&report.history);
    for operation in operations {
        let entry = entries.get(&operation.id);
        let applied = entry.map(|entry| entry.version);
        let violation = match (operation.outcome, applied) {
            (operation::Outcome::Accepted(version), Some(found)) if found == version => None,
            (operation::Outcome::Accepted(_), _) => {
                Some("acknowledged, but not in the history with this version")
            }
            (operation::Outcome::Conflict(_), Some(_)) => Some("refused, but in the history"),
            (operation::Outcome::Conflict(_) | operation::Outcome::Unknown, _) => None,
        };
        violations.extend(violation.map(|violation| format!("{violation}: {operation:?}")));
        let predecessor = predecessors.get(&operation.id);
        if predecessor.is_some_and(|version| *version != operation.expected) {
            violations.push(format!("applied on another version: {operation:?}"));
        }
        if applied.is_some() != contains_limit_of(&report.configuration, operation.id) {
            violations.push(format!("configuration and history differ: {operation:?}"));
        }
    }
    violations
}

/// Checks that the versions reported by each incarnation of a node never decrease.
#[must_use]
pub fn versions(observations: &[watch::Observation]) -> Vec<String> {
    let mut last: HashMap<&str, &watch::Observation> = HashMap::new();
    let mut violations = Vec::new();
    for seen in observations {
        let earlier = last.insert(&seen.incarnation, seen);
        let went_back = earlier.is_some_and(|earlier| {
            seen.version < earlier.version
                || seen.configuration_version < earlier.configuration_version
        });
        if went_back {
            violations.push(format!("{earlier:?} was followed by {seen:?}"));
        }
    }
    violations
}

/// Checks that no change occurs twice in the history and that versions increase.
fn history(history: &[operator::Entry]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut ids = HashSet::new();
    for entry in history {
        if !ids.insert(entry.id) {
            violations.push(format!("applied twice: {entry:?}"));
        }
    }
    let pairs = history.iter().zip(history.iter().skip(1));
    for (newer, older) in pairs.filter(|(newer, older)| newer.version <= older.version) {
        violations.push(format!("{newer:?} does not follow {older:?}"));
    }
    violations
}

/// For each change, the version that the change before it produced.
fn predecessors(history: &[operator::Entry]) -> HashMap<u128, version::Version> {
    let pairs = history.iter().zip(history.iter().skip(1));
    pairs
        .map(|(newer, older)| (newer.id, older.version))
        .collect()
}

/// Whether the configuration has the limit that a change adds.
fn contains_limit_of(configuration: &configuration::Configuration, id: u128) -> bool {
    let name = operation::limit_name(id);
    configuration.limits.iter().any(|limit| limit.name == name)
}
