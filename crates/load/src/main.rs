//! Binary `masticarch-load`: load generator, stand-in targets, fault proxies and
//! experiments.

use std::process::ExitCode;

use clap::Parser;

mod commands;

fn main() -> ExitCode {
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_env_filter(tracing_subscriber::EnvFilter::from_default_env())
        .init();
    match commands::Command::parse().run() {
        Ok(code) => code,
        Err(failure) => {
            eprintln!("masticarch-load: {failure}");
            ExitCode::FAILURE
        }
    }
}
