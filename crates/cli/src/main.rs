//! `masticarch`, the operators' tool.

use std::process::ExitCode;

use clap::Parser;
use masticarch_cli::{arguments, command};

fn main() -> ExitCode {
    let arguments = arguments::Arguments::parse();
    match command::run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("masticarch: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
