//! Subcommands of the binary.

mod generate;
mod proxy;
mod run;
mod standin;

use std::path::Path;
use std::process::ExitCode;

use clap::Parser;
use masticarch_load::error;
use serde::de::DeserializeOwned;

/// Load tests of masticarch.
#[derive(Debug, Parser)]
#[command(name = "masticarch-load", version)]
pub enum Command {
    /// Sends load and reports latencies and counts.
    Generate(generate::Generate),
    /// Runs a fault-injecting TCP proxy.
    Proxy(proxy::Proxy),
    /// Runs an experiment and its baseline.
    Run(run::Run),
    /// Runs a stand-in target.
    Standin(standin::Standin),
}

impl Command {
    /// Runs the subcommand.
    pub fn run(self) -> Result<ExitCode, error::Error> {
        match self {
            Self::Generate(command) => command.run(),
            Self::Proxy(command) => command.run(),
            Self::Run(command) => command.run(),
            Self::Standin(command) => command.run(),
        }
    }
}

/// Reads a YAML file.
fn read<T: DeserializeOwned>(path: &Path) -> Result<T, error::Error> {
    let text = std::fs::read_to_string(path)?;
    serde_saphyr::from_str(&text).map_err(|failure| {
        let reason = format!("{}: {failure}", path.display());
        error::Error::Parse(reason)
    })
}
