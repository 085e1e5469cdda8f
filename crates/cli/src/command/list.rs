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
    format: arguments::Format,
    arguments: &arguments::List,
) -> Result<(), error::Error> {
    let (_, configuration) = client.configuration().await?;
    print(format, &configuration, arguments.kind);
    Ok(())
}

/// Prints the objects of one kind.
pub(crate) fn print(
    format: arguments::Format,
    configuration: &configuration::Configuration,
    kind: kind::Kind,
) {
    match kind {
        kind::Kind::Priority => output::print(format, &configuration.priorities, || {
            priorities(configuration)
        }),
        kind::Kind::Limit => output::print(format, &configuration.limits, || limits(configuration)),
        kind::Kind::Team => output::print(format, &configuration.teams, || teams(configuration)),
        kind::Kind::Key => output::print(format, &configuration.keys, || keys(configuration)),
        kind::Kind::Route => output::print(format, &configuration.routes, || routes(configuration)),
    }
}

fn priorities(configuration: &configuration::Configuration) -> String {
    let mut table = output::Table::new(["NAME", "BELOW"]);
    for entry in &configuration.priorities {
        let below = entry.below.as_ref().map(ToString::to_string);
        table.push_row([entry.name.to_string(), below.unwrap_or_default()]);
    }
    table.render()
}

fn limits(configuration: &configuration::Configuration) -> String {
    let mut table = output::Table::new(["NAME", "RATE/S", "BURST"]);
    for entry in &configuration.limits {
        table.push_row([
            entry.name.to_string(),
            entry.rate_per_second.to_string(),
            entry.burst.to_string(),
        ]);
    }
    table.render()
}

fn teams(configuration: &configuration::Configuration) -> String {
    let mut table = output::Table::new(["NAME", "LIMIT", "WEIGHT"]);
    for entry in &configuration.teams {
        table.push_row([
            entry.name.to_string(),
            entry.limit.to_string(),
            entry.weight.to_string(),
        ]);
    }
    table.render()
}

fn keys(configuration: &configuration::Configuration) -> String {
    let mut table = output::Table::new(["NAME", "TEAM", "ID", "STATE"]);
    for entry in &configuration.keys {
        let state = if entry.withdrawn {
            "withdrawn"
        } else {
            "valid"
        };
        table.push_row([
            entry.name.to_string(),
            entry.team.to_string(),
            masticarch_model::secret::encode(&entry.id),
            state.into(),
        ]);
    }
    table.render()
}

fn routes(configuration: &configuration::Configuration) -> String {
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
    for entry in &configuration.routes {
        let access = match &entry.access {
            access::Access::Keyed => "any key".to_owned(),
            access::Access::Open => "open".into(),
            access::Access::Teams(teams) => {
                let names: Vec<_> = teams.iter().map(ToString::to_string).collect();
                names.join(" ")
            }
        };
        table.push_row([
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
