//! Settings files of the daemon. No other module of this crate depends on their
//! format.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Serialize;

use crate::error;

/// Settings of a node process.
#[derive(Clone, Debug, Serialize)]
pub struct Node {
    /// Name of the node, unique in the fleet.
    pub name: String,
    /// Region in which the node runs.
    pub region: String,
    /// Failure domain in which the node runs.
    pub domain: String,
    /// Listening address for callers.
    pub caller: SocketAddr,
    /// Listening address for other nodes.
    pub peer: SocketAddr,
    /// Address at which other nodes reach `peer`, if it differs from `peer`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertised: Option<SocketAddr>,
    /// Listening address for health, status and announcements.
    pub admin: SocketAddr,
    /// Member ports of the control processes.
    pub control: Vec<SocketAddr>,
    /// File with the fleet's secret.
    pub secret_file: PathBuf,
    /// Whether the node applies overload protection, rate limits, retry budgets and
    /// claims; `false` for a baseline.
    pub decisions: bool,
}

/// A member of the control group.
#[derive(Clone, Debug, Serialize)]
pub struct Member {
    /// Id of the member.
    pub id: u64,
    /// Address at which the process that reads these settings reaches the member port.
    pub address: SocketAddr,
}

/// The credential of an operator.
#[derive(Clone, Debug, Serialize)]
pub struct Operator {
    /// Name of the credential.
    pub name: String,
    /// File with its secret.
    pub secret_file: PathBuf,
}

/// Settings of a control process.
#[derive(Clone, Debug, Serialize)]
pub struct Control {
    /// Id of this member.
    pub id: u64,
    /// Listening address for members and nodes.
    pub member: SocketAddr,
    /// Address at which others reach `member`, if it differs from `member`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub advertised: Option<SocketAddr>,
    /// Listening address for operators.
    pub operator: SocketAddr,
    /// Listening address for health and metrics.
    pub admin: SocketAddr,
    /// Data directory.
    pub data: PathBuf,
    /// Founding members of the group, including this one; empty for a process that
    /// joins.
    pub members: Vec<Member>,
    /// Whether the data directory may be new.
    pub new: bool,
    /// Whether the process waits to be added to an existing group.
    pub join: bool,
    /// File with the fleet's secret.
    pub secret_file: PathBuf,
    /// Credentials of the operators.
    pub operators: Vec<Operator>,
}

/// Writes settings as YAML.
///
/// # Errors
/// [`error::Error::Io`] when the file cannot be written.
pub fn write<T: Serialize>(path: &Path, settings: &T) -> Result<(), error::Error> {
    let text = serde_saphyr::to_string(settings)
        .map_err(|failure| error::Error::Parse(failure.to_string()))?;
    Ok(std::fs::write(path, text)?)
}
