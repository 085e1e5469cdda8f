//! References between objects of the configuration.

use crate::{access, code, configuration, edit, finding, kind, map, name};

/// A reference from one object, by kind and name, to another.
struct Reference<'a> {
    kind: kind::Kind,
    name: &'a name::Name,
    field: &'static str,
    referenced_kind: kind::Kind,
    referenced_name: &'a name::Name,
}

/// A finding for each reference to an object that the edits delete and do not
/// create again. `configuration` is the one after the edits.
pub fn in_use(
    configuration: &configuration::Configuration,
    edits: &[edit::Edit],
) -> Vec<finding::Finding> {
    let deleted = deleted(configuration, edits);
    if deleted.is_empty() {
        return Vec::new();
    }
    references(configuration)
        .filter(|reference| {
            deleted.contains(&(reference.referenced_kind, reference.referenced_name.clone()))
        })
        .map(|reference| finding::Finding {
            code: code::Code::InUse,
            kind: reference.referenced_kind,
            name: reference.referenced_name.clone(),
            field: "name".into(),
            detail: format!(
                "{} {} refers to it in field {}",
                reference.kind, reference.name, reference.field
            )
            .into(),
        })
        .collect()
}

fn deleted(
    configuration: &configuration::Configuration,
    edits: &[edit::Edit],
) -> map::Set<(kind::Kind, name::Name)> {
    let mut deleted: map::Set<_> = edits
        .iter()
        .filter_map(|edit| match edit {
            edit::Edit::Delete(kind, name) => Some((*kind, name.clone())),
            edit::Edit::Put(_) | edit::Edit::Replace(_) => None,
        })
        .collect();
    if !deleted.is_empty() {
        for object in configuration.objects() {
            deleted.remove(&(object.kind(), object.name().clone()));
        }
    }
    deleted
}

fn references(configuration: &configuration::Configuration) -> impl Iterator<Item = Reference<'_>> {
    let priorities = configuration.priorities.iter().filter_map(|entry| {
        let higher = entry.below.as_ref()?;
        Some(Reference {
            kind: kind::Kind::Priority,
            name: &entry.name,
            field: "below",
            referenced_kind: kind::Kind::Priority,
            referenced_name: higher,
        })
    });
    let teams = configuration.teams.iter().map(|entry| Reference {
        kind: kind::Kind::Team,
        name: &entry.name,
        field: "limit",
        referenced_kind: kind::Kind::Limit,
        referenced_name: &entry.limit,
    });
    let keys = configuration.keys.iter().map(|entry| Reference {
        kind: kind::Kind::Key,
        name: &entry.name,
        field: "team",
        referenced_kind: kind::Kind::Team,
        referenced_name: &entry.team,
    });
    let routes = configuration.routes.iter().map(|entry| Reference {
        kind: kind::Kind::Route,
        name: &entry.name,
        field: "priority",
        referenced_kind: kind::Kind::Priority,
        referenced_name: &entry.priority,
    });
    let access = configuration.routes.iter().flat_map(|entry| {
        let teams = match &entry.access {
            access::Access::Open | access::Access::Keyed => &[][..],
            access::Access::Teams(teams) => teams,
        };
        teams.iter().map(|team| Reference {
            kind: kind::Kind::Route,
            name: &entry.name,
            field: "access",
            referenced_kind: kind::Kind::Team,
            referenced_name: team,
        })
    });
    priorities
        .chain(teams)
        .chain(keys)
        .chain(routes)
        .chain(access)
}
