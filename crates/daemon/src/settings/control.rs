//! Settings of a control process.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use masticarch_control::options;
use masticarch_model::{member, name};
use masticarch_wire::handshake;
use serde::Deserialize;

use crate::settings::{document, file, node};
use crate::{error, log};

/// Settings of a control process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Options of the control role.
    pub options: options::Options,
    /// Settings of log lines.
    pub log: log::Settings,
}

/// An initial member of the control group, as written in the settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Member {
    id: member::Id,
    address: SocketAddr,
}

/// An operator's credential, as written in the settings file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Operator {
    name: name::Name,
    secret_file: PathBuf,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// [`error::Error::File`], or [`error::Error::Settings`] with every fault.
    pub fn read(path: &Path) -> Result<Self, error::Error> {
        let mut document = document::Document::read(path)?;
        let settings = Self::parse(&mut document);
        document.finish(settings)
    }

    /// Reads every field, so that all faults are reported; `None` if a required
    /// one is missing or not valid.
    fn parse(document: &mut document::Document) -> Option<Self> {
        let address = "an address as IP:PORT";
        let id: Option<member::Id> = document.required("id", "a number");
        let member: Option<SocketAddr> = document.required("member", address);
        let advertised = document.optional("advertised", address);
        let operator: Option<SocketAddr> = document.required("operator", address);
        let admin: Option<SocketAddr> = document.required("admin", address);
        let data: Option<PathBuf> = document.required("data", "the path of a directory");
        let data = data.map(|data| file::resolve(document.path(), &data));
        let new = document.optional("new", "true or false");
        let join = document.optional("join", "true or false");
        let members = members(document, id, join.unwrap_or(false));
        let credential = node::fleet_credential(document);
        let operators = operators(document);
        let log = document.optional("log", "format (text, json) and level");
        let options = options::Options::builder()
            .id(id?)
            .member(member?)
            .maybe_advertised(advertised)
            .operator(operator?)
            .admin(admin?)
            .data(data?)
            .members(members?)
            .maybe_new(new)
            .maybe_join(join)
            .credential(credential?)
            .operators(operators?)
            .build();
        Some(Self {
            options,
            log: log.unwrap_or_default(),
        })
    }
}

/// Takes the initial members of the group. A process that joins an existing group
/// need not be among them.
fn members(
    document: &mut document::Document,
    id: Option<member::Id>,
    join: bool,
) -> Option<Vec<member::Member>> {
    let expected = "a list of the initial members, each with id and address";
    let entries: Vec<Member> = document.required("members", expected)?;
    let mut ids: Vec<_> = entries.iter().map(|entry| entry.id).collect();
    ids.sort_unstable();
    ids.dedup();
    if ids.len() < entries.len() {
        document.add_fault("members", "two members have the same id".into());
        return None;
    }
    if !join && id.is_some_and(|id| !ids.contains(&id)) {
        document.add_fault("members", "does not list the id of this process".into());
        return None;
    }
    let voter = |entry: Member| member::Member {
        id: entry.id,
        address: entry.address,
        voter: true,
    };
    Some(entries.into_iter().map(voter).collect())
}

/// Takes the operators and derives their credentials from their files.
fn operators(document: &mut document::Document) -> Option<Vec<handshake::Credential>> {
    let expected = "a list of operators, each with name and secret_file";
    let entries: Vec<Operator> = document.required("operators", expected)?;
    let mut credentials = Vec::with_capacity(entries.len());
    for entry in entries {
        let path = file::resolve(document.path(), &entry.secret_file);
        match file::credential(entry.name, &path) {
            Ok(credential) => credentials.push(credential),
            Err(detail) => document.add_fault("operators", detail),
        }
    }
    Some(credentials)
}
