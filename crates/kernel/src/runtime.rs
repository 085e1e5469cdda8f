//! The runtime of a process: one reactor thread on epoll.

use std::future::Future;
use std::io;

/// Runs a future to its end on the epoll driver with timers.
///
/// The driver is named explicitly: the fusion driver would choose `io_uring`
/// where the kernel offers it, and `io_uring` is not allowed.
///
/// # Errors
/// The error of the operating system when the reactor cannot be made.
pub fn run<F: Future>(future: F) -> io::Result<F::Output> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_timer()
        .build()?;
    Ok(runtime.block_on(future))
}
