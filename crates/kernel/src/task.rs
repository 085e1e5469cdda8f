//! Spawning of tasks whose panics stay contained.

use std::future::Future;
use std::panic::AssertUnwindSafe;

use futures::FutureExt;

use crate::name;

/// Spawns a task on the current runtime. A panic ends this task only; it is
/// logged with the name of the service.
///
/// Without this guard a panic in any task unwinds through the runtime and ends
/// the process, so that one hostile connection would cut off all others.
pub fn spawn<F>(name: name::Name, future: F) -> monoio::task::JoinHandle<Option<F::Output>>
where
    F: Future + 'static,
    F::Output: 'static,
{
    monoio::spawn(async move {
        let outcome = AssertUnwindSafe(future).catch_unwind().await;
        outcome
            .inspect_err(|_| tracing::error!(service = %name, "task panicked"))
            .ok()
    })
}
