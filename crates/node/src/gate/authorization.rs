//! Whether a request may use its route.

use masticarch_model::{code, directory, name, secret};

use crate::origin;

/// The team for which a request runs; `None` on routes open to all.
pub type Team = Option<directory::TeamKey>;

/// Decides whether a request from `origin` may use `route`. A sub-call on a route
/// open to all keeps the team of its root request for the calls below it.
///
/// # Errors
/// The code with which the request is refused.
pub fn check(
    directory: &directory::Directory,
    route: &directory::Route,
    origin: &origin::Origin,
) -> Result<Team, code::Code> {
    if route.is_open() {
        return Ok(root_team(directory, origin));
    }
    let team = match origin {
        origin::Origin::Caller(text) => key_team(directory, text.as_deref())?,
        origin::Origin::SubCall(parent) => inherited_team(directory, parent.team.as_ref())?,
    };
    match &route.access {
        directory::Access::Teams(teams) if !teams.contains(&team) => Err(code::Code::WrongTeam),
        _ => Ok(Some(team)),
    }
}

/// The team of the root request of a sub-call, if it has one.
fn root_team(directory: &directory::Directory, origin: &origin::Origin) -> Team {
    match origin {
        origin::Origin::Caller(_) => None,
        origin::Origin::SubCall(parent) => directory.team_named(parent.team.as_ref()?),
    }
}

/// The team of a presented key. That a key has been withdrawn is told only to its
/// holder, who knows the secret.
fn key_team(
    directory: &directory::Directory,
    text: Option<&str>,
) -> Result<directory::TeamKey, code::Code> {
    let text = text.ok_or(code::Code::NoKey)?;
    let secret = secret::Secret::parse(text).unwrap_or_else(|| secret::Secret::external(text));
    let credential = directory.credential(&secret.id);
    let credential = credential.ok_or(code::Code::UnknownKey)?;
    if !secret.matches(&credential.hash) {
        return Err(code::Code::UnknownKey);
    }
    if credential.withdrawn {
        return Err(code::Code::KeyWithdrawn);
    }
    Ok(credential.team)
}

/// The team of the root request, on a route that needs one.
fn inherited_team(
    directory: &directory::Directory,
    team: Option<&name::Name>,
) -> Result<directory::TeamKey, code::Code> {
    let team = team.ok_or(code::Code::NoKey)?;
    directory.team_named(team).ok_or(code::Code::WrongTeam)
}
