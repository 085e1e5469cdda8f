//! `masticarch status`.

use masticarch_client::client;
use masticarch_model::target;
use masticarch_wire::message::{operator, status};

use crate::{arguments, error, output};

/// Shows versions, members, nodes, targets and the teams' rate limits.
///
/// # Errors
/// See [`error::Error`].
pub async fn run(
    client: &mut client::Client,
    format: arguments::Format,
) -> Result<(), error::Error> {
    let status = match client.call(&operator::Request::Status).await? {
        operator::Reply::Status(status) => status,
        other => return Err(client::reply_error(other).into()),
    };
    output::print(format, &status, || tables(&status));
    Ok(())
}

/// The state of the fleet as text: versions and term, then one table each for
/// members, nodes with their targets, and teams.
#[must_use]
pub fn tables(status: &status::Status) -> String {
    let sections = [
        format!(
            "configuration version {}, state version {}, term {}",
            status.configuration_version, status.version, status.term
        ),
        members(status),
        nodes(status),
        teams(status),
    ];
    sections.join("\n\n")
}

fn members(status: &status::Status) -> String {
    let mut table = output::Table::new(["MEMBER", "ADDRESS", "ROLE", "HOLDS", "SILENT"]);
    for entry in &status.members {
        let role = match (entry.leads, entry.member.voter) {
            (true, _) => "leader",
            (false, true) => "follower",
            (false, false) => "learner",
        };
        table.push_row([
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
    let titles = [
        "NODE",
        "REGION",
        "DOMAIN",
        "HOLDS",
        "SILENT",
        "TARGET",
        "STATE",
        "SLOTS",
        "IN FLIGHT",
        "LIMIT",
        "SHEDS",
    ];
    let mut table = output::Table::new(titles);
    for node in &status.nodes {
        let node_cells = [
            node.name.to_string(),
            node.place.region.to_string(),
            node.place.domain.to_string(),
            node.held.to_string(),
            last_contact(node.silent_ms),
        ];
        if node.targets.is_empty() {
            table.push_row(join_cells(node_cells.clone(), <[String; 6]>::default()));
        }
        for target in &node.targets {
            table.push_row(join_cells(node_cells.clone(), target_cells(node, target)));
        }
    }
    table.render()
}

/// A row with the cells of a node and those of one of its targets.
fn join_cells(node: [String; 5], target: [String; 6]) -> [String; 11] {
    let mut cells = node.into_iter().chain(target);
    std::array::from_fn(|_| cells.next().unwrap_or_default())
}

/// Time since the last contact; `u64::MAX` stands for a node that the leader has
/// not heard from.
fn last_contact(milliseconds: u64) -> String {
    if milliseconds == u64::MAX {
        return "not heard".into();
    }
    format!("{milliseconds} ms")
}

fn target_cells(node: &status::Node, target: &target::Target) -> [String; 6] {
    let state = match target.state {
        target::State::Serving => "serving",
        target::State::Draining => "draining",
    };
    let mut loads = node.loads.iter();
    let load = loads.find(|load| load.service == target.service);
    let cell = |value: Option<u32>| value.map(|value| value.to_string()).unwrap_or_default();
    let shed = |load: &status::Load| {
        let names: Vec<_> = load.shed.iter().map(ToString::to_string).collect();
        names.join(" ")
    };
    [
        target.service.to_string(),
        state.into(),
        target.slots.to_string(),
        cell(load.map(|load| load.in_flight)),
        cell(load.map(|load| load.limit)),
        load.map(shed).unwrap_or_default(),
    ]
}

fn teams(status: &status::Status) -> String {
    let mut table = output::Table::new(["TEAM", "RATE/S", "LEASED/S", "DEMAND/S"]);
    for entry in &status.teams {
        table.push_row([
            entry.name.to_string(),
            format!("{:.1}", entry.rate),
            format!("{:.1}", entry.leased),
            // An empty sum of floating-point numbers is -0.0; adding 0.0 makes it
            // 0.0.
            format!("{:.1}", entry.demand + 0.0),
        ]);
    }
    table.render()
}
