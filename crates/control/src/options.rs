//! What a control process is started with.

use std::net::SocketAddr;
use std::path::PathBuf;

use bon::Builder;
use masticarch_model::member;
use masticarch_wire::handshake;

/// What a control process is started with.
#[derive(Clone, Debug, Builder)]
pub struct Options {
    /// Identity of this member; a replaced disk needs a new one.
    pub id: member::Id,
    /// Listening address for members and nodes.
    pub member: SocketAddr,
    /// Address under which others reach `member`, when it differs.
    pub advertised: Option<SocketAddr>,
    /// Listening address for operators.
    pub operator: SocketAddr,
    /// Listening address for metrics and health.
    pub admin: SocketAddr,
    /// Data directory.
    pub data: PathBuf,
    /// The first members of the group, this one included. Used only when the
    /// data directory is new.
    pub members: Vec<member::Member>,
    /// Whether the data directory may be new. Otherwise an empty one stops the
    /// start, because a lost disk must not vote as if it remembered.
    #[builder(default)]
    pub new: bool,
    /// Whether this process joins an existing group as a learner.
    #[builder(default)]
    pub join: bool,
    /// The fleet's secret.
    pub credential: handshake::Credential,
    /// Credentials of the operators.
    pub operators: Vec<handshake::Credential>,
}
