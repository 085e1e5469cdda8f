//! An operator that sends one change after the other.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticarch_load::fleet::operator;
use masticarch_model::version;
use masticarch_wire::message::operator as wire;

use crate::operation;

/// Time before a change is resent.
const RESEND_DELAY: Duration = Duration::from_millis(50);

/// An operator that sends changes with random ids from a seed. Each change is
/// resent under its id, to one control process after the other, until it is answered
/// or its deadline has passed.
pub struct Writer {
    operator: operator::Operator,
    addresses: Vec<SocketAddr>,
    /// Index, modulo the number of addresses, of the address that is tried next.
    address_index: usize,
    /// Version that the next change expects.
    expected: version::Version,
    random: fastrand::Rng,
    /// Number of resends after a lost or unexpected answer.
    pub resends: usize,
    /// Longest time from first sending a change to its outcome.
    pub max_latency: Duration,
}

impl Writer {
    /// Makes a writer that expects a version and sends to these addresses.
    #[must_use]
    pub fn new(
        operator: operator::Operator,
        addresses: Vec<SocketAddr>,
        expected: version::Version,
        seed: u64,
    ) -> Self {
        Self {
            operator,
            addresses,
            address_index: 0,
            expected,
            random: fastrand::Rng::with_seed(seed),
            resends: 0,
            max_latency: Duration::ZERO,
        }
    }

    /// Sends changes until `end`. Those not answered within `answer_timeout` after
    /// `end` have an unknown outcome.
    pub async fn run_until(
        &mut self,
        end: Instant,
        answer_timeout: Duration,
    ) -> Vec<operation::Operation> {
        let mut operations = Vec::new();
        while Instant::now() < end {
            operations.push(self.change(end + answer_timeout).await);
        }
        operations
    }

    /// Sends a number of changes. Those not answered by the deadline have an unknown
    /// outcome.
    pub async fn run(&mut self, count: usize, deadline: Instant) -> Vec<operation::Operation> {
        let mut operations = Vec::with_capacity(count);
        for _ in 0..count {
            operations.push(self.change(deadline).await);
        }
        operations
    }

    async fn change(&mut self, deadline: Instant) -> operation::Operation {
        let id = self.random.u128(..);
        let expected = self.expected;
        let request = wire::Request::Apply(operation::change(id, expected));
        let sent = Instant::now();
        let outcome = self.send(&request, deadline).await;
        self.max_latency = self.max_latency.max(sent.elapsed());
        match outcome {
            operation::Outcome::Accepted(version) | operation::Outcome::Conflict(version) => {
                self.expected = version;
            }
            operation::Outcome::Unknown => {}
        }
        operation::Operation {
            id,
            expected,
            outcome,
        }
    }

    async fn send(&mut self, request: &wire::Request, deadline: Instant) -> operation::Outcome {
        while Instant::now() < deadline {
            let address = self.addresses[self.address_index % self.addresses.len()];
            match self.operator.ask(address, request).await {
                Ok(wire::Reply::Accepted(version)) => return operation::Outcome::Accepted(version),
                Ok(wire::Reply::Conflict(version)) => return operation::Outcome::Conflict(version),
                Ok(wire::Reply::NotLeader(_)) => {}
                Ok(_) | Err(_) => self.resends += 1,
            }
            self.address_index += 1;
            monoio::time::sleep(RESEND_DELAY).await;
        }
        operation::Outcome::Unknown
    }
}
