//! References between objects of the configuration.

use crate::{access, code, configuration, edit, finding, kind, map, name};

/// A reference from one object, by kind and name, to another.
struct Reference<'a> {
    from: kind::Kind,
    name: &'a name::Name,
    field: &'static str,
    to: kind::Kind,
    target: &'a name::Name,
}

/// A finding for each reference to an object that the edits delete and do not
/// create again. `set` is the configuration after the edits.
pub fn in_use(set: &configuration::Configuration, edits: &[edit::Edit]) -> Vec<finding::Finding> {
    let deleted = deleted(set, edits);
    if deleted.is_empty() {
        return Vec::new();
    }
    references(set)
        .filter(|reference| deleted.contains(&(reference.to, reference.target.clone())))
        .map(|reference| finding::Finding {
            code: code::Code::InUse,
            kind: reference.to,
            name: reference.target.clone(),
            field: "name".into(),
            detail: format!(
                "{} {} refers to it in field {}",
                reference.from, reference.name, reference.field
            )
            .into(),
        })
        .collect()
}

fn deleted(
    set: &configuration::Configuration,
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
        for object in set.objects() {
            deleted.remove(&(object.kind(), object.name().clone()));
        }
    }
    deleted
}

fn references(set: &configuration::Configuration) -> impl Iterator<Item = Reference<'_>> {
    let priorities = set.priorities.iter().filter_map(|entry| {
        let higher = entry.below.as_ref()?;
        Some(Reference {
            from: kind::Kind::Priority,
            name: &entry.name,
            field: "below",
            to: kind::Kind::Priority,
            target: higher,
        })
    });
    let teams = set.teams.iter().map(|entry| Reference {
        from: kind::Kind::Team,
        name: &entry.name,
        field: "limit",
        to: kind::Kind::Limit,
        target: &entry.limit,
    });
    let keys = set.keys.iter().map(|entry| Reference {
        from: kind::Kind::Key,
        name: &entry.name,
        field: "team",
        to: kind::Kind::Team,
        target: &entry.team,
    });
    let routes = set.routes.iter().map(|entry| Reference {
        from: kind::Kind::Route,
        name: &entry.name,
        field: "priority",
        to: kind::Kind::Priority,
        target: &entry.priority,
    });
    let access = set.routes.iter().flat_map(|entry| {
        let teams = match &entry.access {
            access::Access::Open | access::Access::Keyed => &[][..],
            access::Access::Teams(teams) => teams,
        };
        teams.iter().map(|team| Reference {
            from: kind::Kind::Route,
            name: &entry.name,
            field: "access",
            to: kind::Kind::Team,
            target: team,
        })
    });
    priorities
        .chain(teams)
        .chain(keys)
        .chain(routes)
        .chain(access)
}
