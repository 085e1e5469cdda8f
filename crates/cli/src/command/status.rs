//! `masticarch status`.

use masticarch_client::client;
use masticarch_model::target;
use masticarch_wire::message::{operator, status};

use crate::{arguments, error, output};

/// Shows versions, members, nodes, targets and limits.
///
/// # Errors
/// See [`error::Error`].
pub async fn run(client: &mut client::Client, form: arguments::Output) -> Result<(), error::Error> {
    let status = match client.call(&operator::Request::Status).await? {
        operator::Reply::Status(status) => status,
        other => return Err(client::unexpected(other).into()),
    };
    output::print(form, &status, || table(&status));
    Ok(())
}

/// The state of the fleet as tables for people.
#[must_use]
pub fn table(status: &status::Status) -> String {
    let parts = [
        format!(
            "configuration version {}, state version {}, term {}",
            status.configuration_version, status.version, status.term
        ),
        members(status),
        nodes(status),
        teams(status),
    ];
    parts.join("\n\n")
}

fn members(status: &status::Status) -> String {
    let mut table = output::Table::new(["MEMBER", "ADDRESS", "ROLE", "HOLDS", "SILENT"]);
    for entry in &status.members {
        let role = match (entry.leads, entry.member.voter) {
            (true, _) => "leader",
            (false, true) => "follower",
            (false, false) => "learner",
        };
        table.row([
            entry.member.id.0.to_string(),
            entry.member.address.to_string(),
            role.into(),
            entry.matched.to_string(),
            format!("{} ms", entry.silent_ms),
        ]);
    }
    table.render()
}

fn nodes(status: &status::Status) -> String {
    let mut table = output::Table::new(["NODE", "REGION", "DOMAIN", "HOLDS", "SILENT", "TARGETS"]);
    for entry in &status.nodes {
        let targets: Vec<_> = entry.targets.iter().map(target_cell).collect();
        table.row([
            entry.name.to_string(),
            entry.place.region.to_string(),
            entry.place.domain.to_string(),
            entry.held.to_string(),
            format!("{} ms", entry.silent_ms),
            targets.join(" "),
        ]);
    }
    table.render()
}

fn target_cell(target: &target::Target) -> String {
    let state = match target.state {
        target::State::Serving => "",
        target::State::Draining => " draining",
    };
    format!("{} ({} slots{state})", target.service, target.slots)
}

fn teams(status: &status::Status) -> String {
    let mut table = output::Table::new(["TEAM", "RATE/S", "LEASED/S", "DEMAND/S"]);
    for entry in &status.teams {
        table.row([
            entry.name.to_string(),
            format!("{:.1}", entry.rate),
            format!("{:.1}", entry.leased),
            // The sum of no numbers is -0.0; adding 0.0 takes the sign away.
            format!("{:.1}", entry.demand + 0.0),
        ]);
    }
    table.render()
}
