//! `masticarch diff`.

use std::collections::BTreeMap;

use masticarch_client::client;
use masticarch_model::{configuration, kind, name, object};
use serde::Serialize;

use crate::{arguments, document, error, output};

/// What applying a file does to an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Step {
    /// The object is only in the file.
    Create,
    /// The object has other values in the file.
    Change,
    /// The object is not in the file.
    Delete,
}

/// An object that differs between the current configuration and the file.
#[derive(Debug, Serialize)]
pub struct Difference {
    /// What applying the file does to the object.
    pub step: Step,
    /// Kind of the object.
    pub kind: kind::Kind,
    /// Name of the object.
    pub name: name::Name,
}

type Objects = BTreeMap<(kind::Kind, name::Name), object::Object>;

fn objects(configuration: &configuration::Configuration) -> Objects {
    configuration
        .objects()
        .map(|object| ((object.kind(), object.name().clone()), object))
        .collect()
}

/// The objects that differ between two configurations, sorted by kind and name.
#[must_use]
pub fn differences(
    current: &configuration::Configuration,
    desired: &configuration::Configuration,
) -> Vec<Difference> {
    let current = objects(current);
    let desired = objects(desired);
    let changed = desired.iter().filter_map(|(key, object)| {
        let step = match current.get(key) {
            None => Step::Create,
            Some(other) if other != object => Step::Change,
            Some(_) => return None,
        };
        Some((key, step))
    });
    let deleted = current
        .keys()
        .filter(|key| !desired.contains_key(*key))
        .map(|key| (key, Step::Delete));
    let mut steps: Vec<_> = changed.chain(deleted).collect();
    steps.sort_by_key(|(key, _)| *key);
    let difference = |((kind, name), step): (&(kind::Kind, name::Name), Step)| Difference {
        step,
        kind: *kind,
        name: name.clone(),
    };
    steps.into_iter().map(difference).collect()
}

fn lines(differences: &[Difference]) -> String {
    let sign = |step| match step {
        Step::Create => '+',
        Step::Change => '~',
        Step::Delete => '-',
    };
    let lines: Vec<_> = differences
        .iter()
        .map(|entry| format!("{} {} {}", sign(entry.step), entry.kind, entry.name))
        .collect();
    if lines.is_empty() {
        return "no differences".into();
    }
    lines.join("\n")
}

/// Shows what applying a file would change.
///
/// # Errors
/// See [`error::Error`].
pub async fn run(
    client: &mut client::Client,
    format: arguments::Format,
    arguments: &arguments::File,
) -> Result<(), error::Error> {
    let document = document::Document::read(&arguments.file)?;
    let (_, current) = client.configuration().await?;
    let desired = document.into_configuration(&current.keys);
    let differences = differences(&current, &desired);
    output::print(format, &differences, || lines(&differences));
    Ok(())
}
