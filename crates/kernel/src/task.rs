//! Spawns tasks whose panics do not end the process.

use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::task::Poll;

use futures::FutureExt;

use crate::name;

/// Spawns a task on the current runtime. A panic ends this task only, is logged
/// with the name of the service, and makes the handle return `None`.
///
/// A panic that is not caught here would unwind through the runtime and end the
/// process, so that one malicious connection could close all others.
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

/// Lets all other tasks that are ready run once.
pub async fn yield_now() {
    let mut yielded = false;
    std::future::poll_fn(|context| {
        if std::mem::replace(&mut yielded, true) {
            return Poll::Ready(());
        }
        context.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}
