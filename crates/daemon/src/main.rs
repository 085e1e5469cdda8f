//! `masticarchd`, the daemon of masticarch.

use std::process::ExitCode;

use clap::Parser;
use masticarch_daemon::{arguments, command};

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
