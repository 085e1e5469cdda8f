//! `masticarchd node`.

use masticarch_kernel::{runtime, stop};
use masticarch_node::role;

use crate::settings::node;
use crate::{arguments, error, log, signal};

/// Runs a node until a signal asks it to drain and stop.
///
/// # Errors
/// See [`error::Error`].
pub fn run(arguments: &arguments::Role) -> Result<(), error::Error> {
    let settings = node::Settings::read(&arguments.settings)?;
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
