//! `masticarchd control`.

use masticarch_control::role;

use crate::command::serve;
use crate::settings::control;
use crate::{arguments, error, log};

/// Runs a control process until a signal asks it to stop, or only checks its
/// settings.
///
/// # Errors
/// See [`error::Error`].
pub fn run(arguments: &arguments::Role) -> Result<(), error::Error> {
    let settings = control::Settings::read(&arguments.settings)?;
    if arguments.check {
        println!("{}: no faults", arguments.settings.display());
        return Ok(());
    }
    let _guard = log::init(settings.log);
    serve::until_signal(|stop| role::run(settings.options, stop))
}
