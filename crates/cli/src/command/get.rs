//! `masticarch get`.

use masticarch_client::client;
use masticarch_model::{configuration, object};

use crate::command::list;
use crate::{arguments, error, output};

/// Prints the current configuration, the objects of one kind, or one object.
///
/// # Errors
/// See [`error::Error`].
pub async fn run(
    client: &mut client::Client,
    format: arguments::Format,
    arguments: &arguments::Get,
) -> Result<(), error::Error> {
    let (version, configuration) = client.configuration().await?;
    match (arguments.kind, &arguments.name) {
        (Some(kind), Some(name)) => {
            let object = configuration
                .objects()
                .find(|object| object.kind() == kind && object.name().as_str() == name)
                .ok_or_else(|| error::Error::NoSuchObject(format!("{kind} {name}")))?;
            print_object(format, &object);
        }
        (Some(kind), None) => list::print(format, &configuration, kind),
        (None, _) => print_all(format, version.0, &configuration),
    }
    Ok(())
}

/// Prints one object; as YAML in place of a table.
fn print_object(format: arguments::Format, object: &object::Object) {
    let format = match format {
        arguments::Format::Table => arguments::Format::Yaml,
        other => other,
    };
    match object {
        object::Object::Priority(item) => output::print(format, item, String::new),
        object::Object::Limit(item) => output::print(format, item, String::new),
        object::Object::Team(item) => output::print(format, item, String::new),
        object::Object::Key(item) => output::print(format, item, String::new),
        object::Object::Route(item) => output::print(format, item, String::new),
    }
}

/// Prints the configuration; its table lists only the names of the objects.
fn print_all(
    format: arguments::Format,
    version: u64,
    configuration: &configuration::Configuration,
) {
    output::print(format, configuration, || {
        let mut table = output::Table::new(["KIND", "NAMES"]);
        table.push_row(["version".into(), version.to_string()]);
        for kind in masticarch_model::kind::Kind::ALL {
            let names: Vec<_> = configuration
                .objects()
                .filter(|object| object.kind() == kind)
                .map(|object| object.name().to_string())
                .collect();
            table.push_row([kind.to_string(), names.join(" ")]);
        }
        table.render()
    });
}
