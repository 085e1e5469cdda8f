//! The asynchronous runtime of a thread, on epoll.

use std::future::Future;
use std::io;

/// Runs a future to completion on the current thread, with timers and sockets on
/// epoll.
///
/// The driver is named explicitly, because monoio's fusion driver would choose
/// `io_uring` where Linux offers it, and `io_uring` is not allowed.
///
/// # Errors
/// The error of the operating system when the runtime cannot be created.
pub fn run<F: Future>(future: F) -> io::Result<F::Output> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()?;
    Ok(runtime.block_on(future))
}
