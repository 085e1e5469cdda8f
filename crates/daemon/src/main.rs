//! `masticarchd`, the daemon of masticarch.

use std::process::ExitCode;

use clap::Parser;
use masticarch_daemon::{arguments, command};
use mimalloc::MiMalloc;

/// A request allocates futures and buffers of several kilobytes. With the
/// allocator of the C library, these allocations took about a third of the node's
/// time.
#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    let arguments = arguments::Arguments::parse();
    match command::run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("masticarchd: {error}");
            ExitCode::FAILURE
        }
    }
}
