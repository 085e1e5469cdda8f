//! `masticarch get`.

use masticarch_client::client;
use masticarch_model::{configuration, object};

use crate::command::list;
use crate::{arguments, error, output};

/// Prints the present configuration, or one object of it.
///
/// # Errors
/// See [`error::Error`].
pub async fn run(
    client: &mut client::Client,
    form: arguments::Output,
    arguments: &arguments::Get,
) -> Result<(), error::Error> {
    let (version, present) = client.configuration().await?;
    match (arguments.kind, &arguments.name) {
        (Some(kind), Some(name)) => {
            let object = present
                .objects()
                .find(|object| object.kind() == kind && object.name().as_str() == name)
                .ok_or_else(|| error::Error::NoSuchObject(format!("{kind} {name}")))?;
            print_object(form, &object);
        }
        (Some(kind), None) => list::print(form, &present, kind),
        (None, _) => print_all(form, version.0, &present),
    }
    Ok(())
}

fn print_object(form: arguments::Output, object: &object::Object) {
    let form = match form {
        arguments::Output::Table => arguments::Output::Yaml,
        other => other,
    };
    match object {
        object::Object::Priority(item) => output::print(form, item, String::new),
        object::Object::Limit(item) => output::print(form, item, String::new),
        object::Object::Team(item) => output::print(form, item, String::new),
        object::Object::Key(item) => output::print(form, item, String::new),
        object::Object::Route(item) => output::print(form, item, String::new),
    }
}

fn print_all(form: arguments::Output, version: u64, present: &configuration::Configuration) {
    output::print(form, present, || {
        let mut table = output::Table::new(["KIND", "NAMES"]);
        table.row(["version".into(), version.to_string()]);
        for kind in masticarch_model::kind::Kind::ALL {
            let names: Vec<_> = present
                .objects()
                .filter(|object| object.kind() == kind)
                .map(|object| object.name().to_string())
                .collect();
            table.row([kind.to_string(), names.join(" ")]);
        }
        table.render()
    });
}
