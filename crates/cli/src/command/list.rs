//! `masticarch list`.

use masticarch_client::client;
use masticarch_model::{access, configuration, kind};

use crate::{arguments, error, output};

/// Lists the objects of one kind.
///
/// # Errors
/// See [`error::Error`].
pub async fn run(
    client: &mut client::Client,
    form: arguments::Output,
    arguments: &arguments::List,
) -> Result<(), error::Error> {
    let (_, present) = client.configuration().await?;
    print(form, &present, arguments.kind);
    Ok(())
}

/// Prints the objects of one kind.
pub(crate) fn print(
    form: arguments::Output,
    present: &configuration::Configuration,
    kind: kind::Kind,
) {
    match kind {
        kind::Kind::Priority => output::print(form, &present.priorities, || priorities(present)),
        kind::Kind::Limit => output::print(form, &present.limits, || limits(present)),
        kind::Kind::Team => output::print(form, &present.teams, || teams(present)),
        kind::Kind::Key => output::print(form, &present.keys, || keys(present)),
        kind::Kind::Route => output::print(form, &present.routes, || routes(present)),
    }
}

fn priorities(present: &configuration::Configuration) -> String {
    let mut table = output::Table::new(["NAME", "BELOW"]);
    for entry in &present.priorities {
        let below = entry.below.as_ref().map(ToString::to_string);
        table.row([entry.name.to_string(), below.unwrap_or_default()]);
    }
    table.render()
}

fn limits(present: &configuration::Configuration) -> String {
    let mut table = output::Table::new(["NAME", "RATE/S", "BURST"]);
    for entry in &present.limits {
        table.row([
            entry.name.to_string(),
            entry.rate_per_second.to_string(),
            entry.burst.to_string(),
        ]);
    }
    table.render()
}

fn teams(present: &configuration::Configuration) -> String {
    let mut table = output::Table::new(["NAME", "LIMIT", "WEIGHT"]);
    for entry in &present.teams {
        table.row([
            entry.name.to_string(),
            entry.limit.to_string(),
            entry.weight.to_string(),
        ]);
    }
    table.render()
}

fn keys(present: &configuration::Configuration) -> String {
    let mut table = output::Table::new(["NAME", "TEAM", "ID", "STATE"]);
    for entry in &present.keys {
        let state = if entry.withdrawn {
            "withdrawn"
        } else {
            "valid"
        };
        table.row([
            entry.name.to_string(),
            entry.team.to_string(),
            masticarch_model::secret::encode(&entry.id),
            state.into(),
        ]);
    }
    table.render()
}

fn routes(present: &configuration::Configuration) -> String {
    let titles = [
        "NAME",
        "PATH",
        "SERVICE",
        "PRIORITY",
        "ACCESS",
        "IDEMPOTENT",
        "TIMEOUT",
        "RETRIES",
    ];
    let mut table = output::Table::new(titles);
    for entry in &present.routes {
        let access = match &entry.access {
            access::Access::Keyed => "any key".to_owned(),
            access::Access::Open => "open".into(),
            access::Access::Teams(teams) => {
                let names: Vec<_> = teams.iter().map(ToString::to_string).collect();
                names.join(" ")
            }
        };
        table.row([
            entry.name.to_string(),
            entry.path.to_string(),
            entry.service.to_string(),
            entry.priority.to_string(),
            access,
            entry.idempotent.to_string(),
            format!("{} ms", entry.timeout.as_millis()),
            entry.retries.to_string(),
        ]);
    }
    table.render()
}
