//! Options of a control process.

use std::net::SocketAddr;
use std::path::PathBuf;

use bon::Builder;
use masticarch_model::member;
use masticarch_wire::handshake;

/// What a control process does when its storage has failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FailurePolicy {
    /// It opens the data directory again and goes on from the state on the disk, as
    /// after a restart, as soon as the disk takes writes.
    #[default]
    Reopen,
    /// It exits, so that its supervisor restarts it from the state on the disk.
    Exit,
}

/// Options of a control process, made from the settings of its caller.
#[derive(Clone, Debug, Builder)]
pub struct Options {
    /// Id of this member. A member with a replaced disk needs a new id. Ignored
    /// when `seeds` are given.
    #[builder(default = member::Id(0))]
    pub id: member::Id,
    /// Listening address for members and nodes.
    pub member: SocketAddr,
    /// Address under which others reach `member`, if it differs from that.
    pub advertised: Option<SocketAddr>,
    /// Listening address for operators.
    pub operator: SocketAddr,
    /// Listening address for metrics and health.
    pub admin: SocketAddr,
    /// Data directory.
    pub data: PathBuf,
    /// The initial members of the group, including this one. Used only when the
    /// data directory is new, and ignored when `seeds` are given.
    #[builder(default)]
    pub members: Vec<member::Member>,
    /// Member ports of processes through which this one finds the group. With
    /// seeds, the group forms and repairs itself: a process with an empty data
    /// directory draws a random id and asks to join the group.
    #[builder(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole group starts for the first time, so that the seeds
    /// are its initial members.
    #[builder(default)]
    pub first_start: bool,
    /// Maximum number of voters in the group.
    #[builder(default = 5)]
    pub max_voters: usize,
    /// Whether an empty data directory is set up. Otherwise the start fails on
    /// one: the disk was lost, and the member must not vote again under its id.
    #[builder(default)]
    pub new: bool,
    /// Whether this process joins an existing group as a learner.
    #[builder(default)]
    pub join: bool,
    /// What the process does when its storage has failed.
    #[builder(default)]
    pub on_storage_failure: FailurePolicy,
    /// Credential that members and nodes of the fleet share.
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
