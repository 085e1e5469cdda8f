//! The command line of the daemon.

use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// Overload control for service call graphs.
#[derive(Debug, Parser)]
#[command(name = "masticarchd", version, about)]
pub struct Arguments {
    /// What to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The roles of the daemon.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a node beside a target VM and forward its requests.
    Node(Role),
    /// Run a control process, which keeps the fleet's state, on a VM with a disk.
    Control(Role),
    /// Run every role in one process on loopback, with an example target.
    Local(Local),
}

/// Arguments of `node` and of `control`.
#[derive(Debug, Args)]
pub struct Role {
    /// Settings file in YAML.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// Check the settings, report every fault and exit.
    #[arg(long)]
    pub check: bool,
}

/// Arguments of `local`.
#[derive(Debug, Args)]
pub struct Local {
    /// Data directory; if absent, a new one in the directory for temporary files.
    #[arg(long, value_name = "DIR")]
    pub data: Option<PathBuf>,
    /// First of eight consecutive ports on 127.0.0.1.
    #[arg(long, value_name = "PORT", default_value_t = 8700)]
    pub port: u16,
}
