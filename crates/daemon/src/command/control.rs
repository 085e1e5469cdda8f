//! `masticarchd control`.

use masticarch_control::role;
use masticarch_kernel::{runtime, stop};

use crate::settings::control;
use crate::{arguments, error, log, signal};

/// Runs a control process until a signal asks it to stop.
///
/// # Errors
/// See [`error::Error`].
pub fn run(arguments: &arguments::Role) -> Result<(), error::Error> {
    let settings = control::Settings::read(&arguments.settings)?;
    if arguments.check {
        println!("{}: no faults", arguments.settings.display());
        return Ok(());
    }
    log::init(settings.log);
    let signals = signal::stop()?;
    runtime::run(async {
        let (sender, stop) = stop::Stop::new();
        monoio::spawn(async move {
            let _ = signals.await;
            drop(sender);
        });
        role::run(settings.options, stop).await
    })??;
    Ok(())
}
