//! `masticarch key`.

use masticarch_client::{client, error as client_error, random};
use masticarch_model::{code, edit, key, kind, object};
use serde::Serialize;

use crate::{arguments, error, output};

/// An issued key, as JSON and YAML show it. The configuration holds only a hash of
/// the secret, so that the key can be shown only once.
#[derive(Debug, Serialize)]
struct Issued<'a> {
    name: &'a str,
    team: &'a str,
    key: String,
}

/// Issues or withdraws a key.
///
/// # Errors
/// See [`error::Error`].
pub async fn run(
    client: &mut client::Client,
    format: arguments::Format,
    arguments: &arguments::Key,
) -> Result<(), error::Error> {
    match arguments {
        arguments::Key::Issue { name, team } => issue(client, format, name, team).await,
        arguments::Key::Withdraw { name } => withdraw(client, name).await,
    }
}

async fn issue(
    client: &mut client::Client,
    format: arguments::Format,
    name: &str,
    team: &str,
) -> Result<(), error::Error> {
    let (current_version, configuration) = client.configuration().await?;
    if configuration
        .keys
        .iter()
        .any(|key| key.name.as_str() == name)
    {
        let detail = format!("key {name} already exists; choose another name");
        return Err(client_error::Error::Refused(code::Code::DuplicateName, detail.into()).into());
    }
    let secret = random::key()?;
    let stored = key::Key {
        name: name.into(),
        team: team.into(),
        id: secret.id,
        hash: secret.hash(),
        withdrawn: false,
    };
    let put = edit::Edit::Put(object::Object::Key(stored));
    let change = client.change(current_version, vec![put])?;
    client.apply(change).await?;
    let key = secret.reveal();
    output::print(
        format,
        &Issued {
            name,
            team,
            key: key.clone(),
        },
        || {
            format!(
                "{key}\nThis key is shown only once. Callers of {team} send it in the header masticarch-key."
            )
        },
    );
    Ok(())
}

async fn withdraw(client: &mut client::Client, name: &str) -> Result<(), error::Error> {
    let (current_version, configuration) = client.configuration().await?;
    let stored = configuration
        .keys
        .into_iter()
        .find(|key| key.name.as_str() == name)
        .ok_or_else(|| error::Error::NoSuchObject(format!("{} {name}", kind::Kind::Key)))?;
    let withdrawn = key::Key {
        withdrawn: true,
        ..stored
    };
    let put = edit::Edit::Put(object::Object::Key(withdrawn));
    let change = client.change(current_version, vec![put])?;
    let version = client.apply(change).await?;
    println!("key {name} is withdrawn in version {version}; no node accepts it after 5 s");
    Ok(())
}
