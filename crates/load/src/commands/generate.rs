//! Subcommand `generate`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use masticarch_kernel::runtime;
use masticarch_load::{error, generator};

/// Sends the load of a plan and prints a table with a row for each team.
#[derive(Debug, Args)]
pub struct Generate {
    /// YAML file of the plan.
    plan: PathBuf,
}

impl Generate {
    /// Runs the plan.
    pub fn run(self) -> Result<ExitCode, error::Error> {
        let plan = super::read(&self.plan)?;
        let report = runtime::run(generator::run(plan))??;
        println!("{}", table(&report));
        Ok(ExitCode::SUCCESS)
    }
}

fn table(report: &generator::Report) -> String {
    let mut builder = tabled::builder::Builder::new();
    builder.push_record([
        "team", "requests", "served", "p50 ms", "p99 ms", "max ms", "codes",
    ]);
    for (index, team) in report.plan.teams.iter().enumerate() {
        let latencies = report.latencies_of(index);
        let milliseconds =
            |microseconds: u64| format!("{}.{:03}", microseconds / 1_000, microseconds % 1_000);
        builder.push_record([
            team.name.clone(),
            report.requests_of(index).count().to_string(),
            latencies.len().to_string(),
            milliseconds(latencies.value_at_quantile(0.5)),
            milliseconds(latencies.value_at_quantile(0.99)),
            milliseconds(latencies.max()),
            format!("{:?}", report.attempts_by_code(index)),
        ]);
    }
    builder.build().to_string()
}
