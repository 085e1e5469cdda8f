//! What a control process is started with.

use std::net::SocketAddr;
use std::path::PathBuf;

use bon::Builder;
use masticarch_model::member;
use masticarch_wire::handshake;

/// What a control process does when its storage has failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FailurePolicy {
    /// It stays, without taking part, until an operator restarts it.
    #[default]
    Stay,
    /// It ends, so that it starts again with what is on the disk.
    Exit,
}

/// What a control process is started with.
#[derive(Clone, Debug, Builder)]
pub struct Options {
    /// Identity of this member; a replaced disk needs a new one. Not used
    /// with `seeds`.
    #[builder(default = member::Id(0))]
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
    /// data directory is new, and not with `seeds`.
    #[builder(default)]
    pub members: Vec<member::Member>,
    /// Member ports of processes through which this one finds the group. With
    /// them the group forms and repairs itself: a process with an empty data
    /// directory draws an id and asks to take part.
    #[builder(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole group starts for the first time, so that the seeds
    /// are its first members.
    #[builder(default)]
    pub first_start: bool,
    /// Most members that vote.
    #[builder(default = 5)]
    pub max_voters: usize,
    /// Whether the data directory may be new. Otherwise an empty one stops the
    /// start, because a lost disk must not vote as if it remembered.
    #[builder(default)]
    pub new: bool,
    /// Whether this process joins an existing group as a learner.
    #[builder(default)]
    pub join: bool,
    /// What the process does when its storage has failed.
    #[builder(default)]
    pub on_storage_failure: FailurePolicy,
    /// The fleet's secret.
    pub credential: handshake::Credential,
    /// Credentials of the operators.
    pub operators: Vec<handshake::Credential>,
}

impl Options {
    /// Address under which others reach the member port.
    #[must_use]
    pub fn advertised_address(&self) -> SocketAddr {
        self.advertised.unwrap_or(self.member)
    }
}
