//! `masticarchd node`.

use masticarch_node::role;

use crate::command::serve;
use crate::settings::node;
use crate::{arguments, error, log};

/// Runs a node until a signal asks it to drain and stop, or only checks its
/// settings.
///
/// # Errors
/// See [`error::Error`].
pub fn run(arguments: &arguments::Role) -> Result<(), error::Error> {
    let settings = node::Settings::read(&arguments.settings)?;
    if arguments.check {
        println!("{}: no faults", arguments.settings.display());
        return Ok(());
    }
    let _guard = log::init(settings.log);
    serve::until_signal(|stop| role::run(settings.options, stop))
}
