//! The command line of the tool.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use masticarch_model::kind;

/// Exit codes, shown at the end of the help.
const EXIT_CODES: &str = "Exit codes:
  0  done
  1  a file or an argument is not valid
  2  the command line is wrong
  3  the request is refused, for example because the configuration would have faults
  4  the configuration has another version than expected
  5  no leading control process can be reached
  6  no reply in time: the change may have been applied
  7  the credential is not accepted";

/// Operates a masticarch fleet.
#[derive(Debug, Parser)]
#[command(name = "masticarch", version, about, after_help = EXIT_CODES)]
pub struct Arguments {
    /// How to reach the fleet.
    #[command(flatten)]
    pub connection: Connection,
    /// Output format.
    #[arg(long, short, global = true, value_enum, default_value = "table")]
    pub output: Format,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// How to reach the fleet. A value that is absent is taken from the settings
/// file.
#[derive(Debug, Args)]
pub struct Connection {
    /// Settings file in YAML with `control`, `operator` and `secret_file`.
    #[arg(long, global = true, env = "MASTICARCH_SETTINGS", value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// Operator ports of the control processes, separated by commas.
    #[arg(
        long,
        global = true,
        env = "MASTICARCH_CONTROL",
        value_delimiter = ',',
        value_name = "IP:PORT"
    )]
    pub control: Vec<SocketAddr>,
    /// Name of the operator credential.
    #[arg(long, global = true, env = "MASTICARCH_OPERATOR", value_name = "NAME")]
    pub operator: Option<String>,
    /// File that holds the operator's secret.
    #[arg(
        long,
        global = true,
        env = "MASTICARCH_SECRET_FILE",
        value_name = "FILE"
    )]
    pub secret_file: Option<PathBuf>,
    /// Time after which a call to the control group is not tried again, in
    /// milliseconds.
    #[arg(long, global = true, default_value_t = 10_000, value_name = "MS")]
    pub timeout_ms: u64,
}

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Format {
    /// Plain text, most of it as tables.
    Table,
    /// JSON for scripts.
    Json,
    /// YAML for scripts; `apply` accepts the output of `get`.
    Yaml,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Replace the configuration with that of a file.
    #[command(after_help = "Example:
  masticarch apply fleet.yaml --expect 41")]
    Apply(Apply),
    /// Check a file against the current configuration without publishing it.
    Check(File),
    /// Show what applying a file would change.
    Diff(File),
    /// Print the current configuration, the objects of one kind, or one object.
    #[command(after_help = "Examples:
  masticarch get --output yaml > fleet.yaml
  masticarch get route alertas")]
    Get(Get),
    /// List the objects of one kind.
    List(List),
    /// Delete one object.
    Delete(Delete),
    /// Show the latest changes of the configuration.
    History(History),
    /// Issue and withdraw callers' keys.
    #[command(subcommand)]
    Key(Key),
    /// Show versions, members, nodes, targets and the teams' rate limits.
    Status,
    /// Ask a node to drain.
    Drain(Drain),
    /// Change the members of the control group.
    #[command(subcommand)]
    Member(Member),
    /// Print a completion script for a shell.
    Completions {
        /// Shell that the script is for.
        shell: Shell,
    },
}

/// A configuration file.
#[derive(Debug, Args)]
pub struct File {
    /// Configuration in YAML.
    pub file: PathBuf,
}

/// Arguments of `apply`.
#[derive(Debug, Args)]
pub struct Apply {
    /// Configuration in YAML.
    pub file: PathBuf,
    /// Version that the change is based on; the current one if absent.
    #[arg(long, value_name = "VERSION")]
    pub expect: Option<u64>,
}

/// Arguments of `get`.
#[derive(Debug, Args)]
pub struct Get {
    /// Kind of the object.
    #[arg(value_parser = parse_kind)]
    pub kind: Option<kind::Kind>,
    /// Name of the object.
    #[arg(requires = "kind")]
    pub name: Option<String>,
}

/// Arguments of `list`.
#[derive(Debug, Args)]
pub struct List {
    /// Kind of the objects.
    #[arg(value_parser = parse_kind)]
    pub kind: kind::Kind,
}

/// Arguments of `delete`.
#[derive(Debug, Args)]
pub struct Delete {
    /// Kind of the object.
    #[arg(value_parser = parse_kind)]
    pub kind: kind::Kind,
    /// Name of the object.
    pub name: String,
}

/// Arguments of `history`.
#[derive(Debug, Args)]
pub struct History {
    /// Number of changes to show.
    #[arg(long, short = 'n', default_value_t = 20)]
    pub count: u32,
}

/// Arguments of `drain`.
#[derive(Debug, Args)]
pub struct Drain {
    /// Name of the node.
    pub node: String,
}

/// Callers' keys.
#[derive(Debug, Subcommand)]
pub enum Key {
    /// Issue a key to a team; it is shown only once.
    Issue {
        /// Name of the key.
        name: String,
        /// Team of the key.
        #[arg(long)]
        team: String,
    },
    /// Withdraw a key; it stops working within seconds.
    Withdraw {
        /// Name of the key.
        name: String,
    },
}

/// Members of the control group.
#[derive(Debug, Subcommand)]
pub enum Member {
    /// Add a process with a new data directory as a learner.
    Add {
        /// Id of the new member; one that was never used before.
        id: u64,
        /// Address of its member port.
        address: SocketAddr,
    },
    /// Make a learner a voter.
    Promote {
        /// Id of the learner.
        id: u64,
    },
    /// Remove a member.
    Remove {
        /// Id of the member.
        id: u64,
    },
    /// Replace a member that lost its disk: add the new member, wait until it has
    /// caught up, promote it, remove the old member.
    #[command(after_help = "Example:
  masticarch member replace 2 --with 4 --address 127.0.0.1:8714")]
    Replace {
        /// Id of the member that lost its disk.
        id: u64,
        /// Id of the new member; one that was never used before.
        #[arg(long)]
        with: u64,
        /// Address of the member port of the new member.
        #[arg(long)]
        address: SocketAddr,
    },
}

fn parse_kind(text: &str) -> Result<kind::Kind, String> {
    kind::Kind::ALL
        .into_iter()
        .find(|kind| kind.as_str() == text.trim_end_matches('s'))
        .or_else(|| (text == "priorities").then_some(kind::Kind::Priority))
        .ok_or_else(|| {
            let kinds: Vec<_> = kind::Kind::ALL.iter().map(|kind| kind.as_str()).collect();
            format!("not one of {}", kinds.join(", "))
        })
}
