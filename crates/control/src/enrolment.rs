//! The task that asks the group to take this process in.

use std::net::SocketAddr;
use std::time::Duration;

use masticarch_kernel::{address, stop};
use masticarch_model::member;
use masticarch_wire::message as wire;

use crate::agreement::{client, envelope, outgoing, status};
use crate::options;

/// Time between two requests. A process becomes a voter in three steps.
const PERIOD: Duration = Duration::from_millis(100);
/// Looks in a row without a leader after which a voter asks as well: it may have
/// been removed while it was away.
const LEADERLESS_LOOKS: u32 = 10;

/// Asks to take part in the group whenever this process does not.
pub struct Enrolment {
    own: member::Member,
    seeds: Vec<SocketAddr>,
    log: client::Client,
    outbound: address::Address<outgoing::Outgoing>,
    leaderless: u32,
}

impl Enrolment {
    /// Makes the task of a process.
    #[must_use]
    pub fn new(
        options: &options::Options,
        log: client::Client,
        outbound: address::Address<outgoing::Outgoing>,
    ) -> Self {
        Self {
            own: member::Member {
                id: options.id,
                address: options.reachable(),
                voter: false,
            },
            seeds: options.seeds.clone(),
            log,
            outbound,
            leaderless: 0,
        }
    }

    /// Asks until the service is asked to stop.
    pub async fn run(mut self, stop: stop::Stop) {
        while monoio::time::timeout(PERIOD, stop.wait()).await.is_err() {
            let Ok(status) = self.log.status().await else {
                return;
            };
            if self.is_outside(&status) {
                self.ask(&status);
            }
        }
    }

    fn is_outside(&mut self, status: &status::Status) -> bool {
        self.leaderless = match status.leader {
            Some(_) => 0,
            None => self.leaderless.saturating_add(1),
        };
        status.role == status::Role::Learner || self.leaderless >= LEADERLESS_LOOKS
    }

    /// Asks every process that may lead. A lost request is made good by the
    /// next one.
    fn ask(&self, status: &status::Status) {
        let bytes = wire::encode(&envelope::Envelope::Enrolment(
            self.own.clone(),
            envelope::Passage::Direct,
        ));
        let known = status.members.iter().map(|control| control.member.address);
        let mut addresses: Vec<_> = known.chain(self.seeds.iter().copied()).collect();
        addresses.sort_unstable();
        addresses.dedup();
        for address in addresses.into_iter().filter(|to| *to != self.own.address) {
            let known = status.members.iter().map(|control| &control.member);
            let member = known.into_iter().find(|member| member.address == address);
            let to = member.map_or(member::Id::from_address(address), |member| member.id);
            let bytes = bytes.clone();
            let _ = self
                .outbound
                .try_send(outgoing::Outgoing { to, address, bytes });
        }
    }
}
