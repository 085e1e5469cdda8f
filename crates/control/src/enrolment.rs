//! The task that asks the control group to make this process a member.

use std::net::SocketAddr;
use std::time::Duration;

use masticarch_kernel::{address, stop};
use masticarch_model::member;
use masticarch_wire::message as wire;

use crate::agreement::{client, envelope, outgoing, status};
use crate::options;

/// Time between two requests. A process becomes a voter by three changes of the
/// membership, each proposed in response to a request.
const REQUEST_PERIOD: Duration = Duration::from_millis(100);
/// Consecutive checks without a leader after which a voter sends requests as well,
/// because it may have been removed while it was down.
const MAX_LEADERLESS_CHECKS: u32 = 10;

/// Requests membership whenever this process is a learner or no member.
pub struct Enrolment {
    own: member::Member,
    seeds: Vec<SocketAddr>,
    log: client::Client,
    outbound: address::Address<outgoing::Outgoing>,
    leaderless_checks: u32,
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
                address: options.advertised_address(),
                voter: false,
            },
            seeds: options.seeds.clone(),
            log,
            outbound,
            leaderless_checks: 0,
        }
    }

    /// Sends requests until the service is asked to stop.
    pub async fn run(mut self, stop: stop::Stop) {
        while monoio::time::timeout(REQUEST_PERIOD, stop.wait())
            .await
            .is_err()
        {
            let Ok(status) = self.log.status().await else {
                return;
            };
            if self.needs_enrolment(&status) {
                self.send_requests(&status);
            }
        }
    }

    /// Whether this process must send requests. Counts consecutive checks without a
    /// leader.
    fn needs_enrolment(&mut self, status: &status::Status) -> bool {
        self.leaderless_checks = match status.leader {
            Some(_) => 0,
            None => self.leaderless_checks.saturating_add(1),
        };
        status.role == status::Role::Learner || self.leaderless_checks >= MAX_LEADERLESS_CHECKS
    }

    /// Sends a request to every process that may lead. A lost request is replaced
    /// by the next one.
    fn send_requests(&self, status: &status::Status) {
        let bytes = wire::encode(&envelope::Envelope::Enrolment(
            self.own.clone(),
            envelope::Delivery::Direct,
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
