//! Signals that ask the process to stop.

use std::io;
use std::thread;

use futures::channel::oneshot;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Installs the signal handlers. The returned future resolves at the first SIGTERM
/// or SIGINT; a later one ends the process at once, so that an operator can cut a
/// drain short. SIGHUP only logs that settings may have changed.
///
/// # Errors
/// The error of the operating system when handlers cannot be installed.
pub fn stop_request() -> io::Result<oneshot::Receiver<()>> {
    let (sender, receiver) = oneshot::channel();
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            let mut sender = Some(sender);
            for signal in &mut signals {
                if signal == SIGHUP {
                    tracing::info!("settings may have changed");
                    continue;
                }
                match sender.take() {
                    Some(sender) => drop(sender.send(())),
                    None => drop(signal_hook::low_level::emulate_default_handler(signal)),
                }
            }
        })?;
    Ok(receiver)
}
