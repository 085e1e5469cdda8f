//! The whole configuration of a fleet.

use serde::{Deserialize, Serialize};

use crate::{code, edit, finding, key, kind, limit, map, name, object, priority, route, team};

/// All objects that operators have created. `masticarch apply` reads documents of
/// this form.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Configuration {
    /// Priorities, in any order.
    pub priorities: Vec<priority::Priority>,
    /// Limits.
    pub limits: Vec<limit::Limit>,
    /// Teams.
    pub teams: Vec<team::Team>,
    /// Keys.
    pub keys: Vec<key::Key>,
    /// Routes.
    pub routes: Vec<route::Route>,
}

/// Replaces the entry for which `same` holds, or appends the new one.
fn put<T>(list: &mut Vec<T>, item: T, same: impl Fn(&T) -> bool) {
    match list.iter_mut().find(|entry| same(entry)) {
        Some(entry) => *entry = item,
        None => list.push(item),
    }
}

/// Removes the entries for which `same` holds; returns whether there were any.
fn remove<T>(list: &mut Vec<T>, same: impl Fn(&T) -> bool) -> bool {
    let before = list.len();
    list.retain(|entry| !same(entry));
    list.len() < before
}

impl Configuration {
    /// Applies one edit without checking the resulting configuration.
    ///
    /// # Errors
    /// A finding with [`code::Code::NoSuchObject`] when a deleted object does
    /// not exist.
    pub fn edit(&mut self, edit: &edit::Edit) -> Result<(), finding::Finding> {
        match edit {
            edit::Edit::Put(object) => self.put(object.clone()),
            edit::Edit::Delete(kind, name) => return self.delete(*kind, name),
            edit::Edit::Replace(whole) => *self = whole.clone(),
        }
        Ok(())
    }

    fn put(&mut self, object: object::Object) {
        match object {
            object::Object::Priority(item) => {
                let name = item.name.clone();
                put(&mut self.priorities, item, |entry| entry.name == name);
            }
            object::Object::Limit(item) => {
                let name = item.name.clone();
                put(&mut self.limits, item, |entry| entry.name == name);
            }
            object::Object::Team(item) => {
                let name = item.name.clone();
                put(&mut self.teams, item, |entry| entry.name == name);
            }
            object::Object::Key(item) => {
                let name = item.name.clone();
                put(&mut self.keys, item, |entry| entry.name == name);
            }
            object::Object::Route(item) => {
                let name = item.name.clone();
                put(&mut self.routes, item, |entry| entry.name == name);
            }
        }
    }

    fn delete(&mut self, kind: kind::Kind, name: &name::Name) -> Result<(), finding::Finding> {
        let found = match kind {
            kind::Kind::Priority => remove(&mut self.priorities, |entry| entry.name == *name),
            kind::Kind::Limit => remove(&mut self.limits, |entry| entry.name == *name),
            kind::Kind::Team => remove(&mut self.teams, |entry| entry.name == *name),
            kind::Kind::Key => remove(&mut self.keys, |entry| entry.name == *name),
            kind::Kind::Route => remove(&mut self.routes, |entry| entry.name == *name),
        };
        if found {
            return Ok(());
        }
        Err(finding::Finding {
            code: code::Code::NoSuchObject,
            kind,
            name: name.clone(),
            field: "name".into(),
            detail: "no object has this kind and name".into(),
        })
    }

    /// The deletes and puts of single objects that turn this configuration into
    /// another one.
    #[must_use]
    pub fn edits_to(&self, other: &Self) -> Vec<edit::Edit> {
        let known: map::Map<_, _> = self
            .objects()
            .map(|object| (object.key(), object))
            .collect();
        let wanted: map::Set<_> = other.objects().map(|object| object.key()).collect();
        let deleted = self
            .objects()
            .map(|object| object.key())
            .filter(|key| !wanted.contains(key))
            .map(|(kind, name)| edit::Edit::Delete(kind, name));
        let put = other
            .objects()
            .filter(|object| known.get(&object.key()) != Some(object))
            .map(edit::Edit::Put);
        deleted.chain(put).collect()
    }

    /// All objects, ordered by kind and within a kind as in its list.
    pub fn objects(&self) -> impl Iterator<Item = object::Object> + '_ {
        let priorities = self.priorities.iter().cloned();
        let limits = self.limits.iter().cloned();
        let teams = self.teams.iter().cloned();
        let keys = self.keys.iter().cloned();
        let routes = self.routes.iter().cloned();
        priorities
            .map(object::Object::Priority)
            .chain(limits.map(object::Object::Limit))
            .chain(teams.map(object::Object::Team))
            .chain(keys.map(object::Object::Key))
            .chain(routes.map(object::Object::Route))
    }
}
