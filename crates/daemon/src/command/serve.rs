//! Runs a role until a signal asks it to stop.

use masticarch_kernel::{runtime, stop};

use crate::{error, signal};

/// Runs a role on the runtime of this process; the first SIGTERM or SIGINT asks
/// it to stop.
///
/// # Errors
/// The error of the role, or [`error::Error::Io`] when signals or the runtime
/// cannot be set up.
pub fn until_signal<F, E>(role: impl FnOnce(stop::Stop) -> F) -> Result<(), error::Error>
where
    F: Future<Output = Result<(), E>>,
    error::Error: From<E>,
{
    let stop_request = signal::stop_request()?;
    runtime::run(async {
        let (sender, stop) = stop::Stop::new();
        monoio::spawn(async move {
            let _ = stop_request.await;
            drop(sender);
        });
        role(stop).await
    })??;
    Ok(())
}
