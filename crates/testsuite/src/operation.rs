//! Changes that a test sent as an operator, with their recorded outcomes.

use masticarch_model::{change, edit, limit, name, object, version};

/// Outcome of a change, as its operator sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Acknowledged with this configuration version.
    Accepted(version::Version),
    /// Refused, because the current configuration version is this one, not the
    /// expected one.
    Conflict(version::Version),
    /// Not answered before the deadline.
    Unknown,
}

/// A change that was sent, until it was answered or its deadline passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Id of the change.
    pub id: u128,
    /// Configuration version that the change expected.
    pub expected: version::Version,
    /// Outcome of the change.
    pub outcome: Outcome,
}

/// Name of the limit that the change with this id adds, by which its effect is
/// found in the configuration.
#[must_use]
pub fn limit_name(id: u128) -> name::Name {
    name::Name::new(&format!("c-{id:032x}"))
}

/// A change that adds a limit named after its id.
#[must_use]
pub fn change(id: u128, expected: version::Version) -> change::Change {
    let limit = limit::Limit {
        name: limit_name(id),
        rate_per_second: 1.0,
        burst: 1,
    };
    change::Change {
        document: None,
        id,
        expected,
        operator: name::Name::new("tester"),
        edits: vec![edit::Edit::Put(object::Object::Limit(limit))],
    }
}
