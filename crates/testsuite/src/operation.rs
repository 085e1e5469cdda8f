//! Operators' changes as a test recorded them.

use masticarch_model::{change, edit, limit, name, object, version};

/// How a change ended for its operator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Acknowledged with this configuration version.
    Accepted(version::Version),
    /// Refused, because the configuration has this other version.
    Conflict(version::Version),
    /// Not answered within the time of the test.
    Unknown,
}

/// One change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Operation {
    /// Id of the change.
    pub id: u128,
    /// Version that it expected.
    pub expected: version::Version,
    /// How it ended.
    pub outcome: Outcome,
}

/// Name of the limit that a change adds, by which its effect is recognised.
#[must_use]
pub fn limit_name(id: u128) -> name::Name {
    name::Name::new(&format!("c-{id:032x}"))
}

/// A change that adds a limit of its own.
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
