//! The subcommands of the tool.

pub mod apply;
pub mod check;
pub mod completions;
pub mod delete;
pub mod diff;
pub mod drain;
pub mod get;
pub mod history;
pub mod key;
pub mod list;
pub mod member;
pub mod status;

use masticarch_client::client;
use masticarch_kernel::runtime;

use crate::{arguments, error, settings};

/// Runs what the command line asks for.
///
/// # Errors
/// See [`error::Error`].
pub fn run(arguments: arguments::Arguments) -> Result<(), error::Error> {
    if let arguments::Command::Completions { shell } = arguments.command {
        completions::run(shell);
        return Ok(());
    }
    let settings = settings::read(&arguments.connection)?;
    let client = client::Client::new(settings);
    runtime::run(dispatch(client, arguments.output, arguments.command))?
}

async fn dispatch(
    mut client: client::Client,
    format: arguments::Format,
    command: arguments::Command,
) -> Result<(), error::Error> {
    let client = &mut client;
    match command {
        arguments::Command::Apply(arguments) => apply::run(client, format, &arguments).await,
        arguments::Command::Check(arguments) => check::run(client, format, &arguments).await,
        arguments::Command::Diff(arguments) => diff::run(client, format, &arguments).await,
        arguments::Command::Get(arguments) => get::run(client, format, &arguments).await,
        arguments::Command::List(arguments) => list::run(client, format, &arguments).await,
        arguments::Command::Delete(arguments) => delete::run(client, format, &arguments).await,
        arguments::Command::History(arguments) => history::run(client, format, &arguments).await,
        arguments::Command::Key(arguments) => key::run(client, format, &arguments).await,
        arguments::Command::Status => status::run(client, format).await,
        arguments::Command::Drain(arguments) => drain::run(client, &arguments).await,
        arguments::Command::Member(arguments) => member::run(client, &arguments).await,
        arguments::Command::Completions { shell } => {
            completions::run(shell);
            Ok(())
        }
    }
}
