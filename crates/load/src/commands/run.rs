//! Subcommand `run`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use masticarch_kernel::runtime;
use masticarch_load::{error, experiment};

/// Runs an experiment and its baseline; fails when a bound does not hold.
#[derive(Debug, Args)]
pub struct Run {
    /// YAML file of the experiment.
    file: PathBuf,
    /// Makes phases, actions and measures five times as long.
    #[arg(long)]
    long: bool,
    /// Seed that replaces the one in the file.
    #[arg(long)]
    seed: Option<u64>,
    /// File to which the JSON object is written, besides standard output.
    #[arg(long)]
    json: Option<PathBuf>,
}

impl Run {
    /// Runs the experiment and prints its table and its JSON object.
    pub fn run(self) -> Result<ExitCode, error::Error> {
        let mut plan: experiment::Plan = super::read(&self.file)?;
        plan.seed = self.seed.unwrap_or(plan.seed);
        if self.long {
            plan.lengthen();
        }
        let outcome = runtime::run(experiment::run(&plan))??;
        println!("{}", outcome.table());
        let json = outcome.json();
        if let Some(path) = self.json {
            std::fs::write(path, &json)?;
        }
        println!("{json}");
        Ok(if outcome.holds() {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    }
}
