//! Fleets with three control processes, for tests of their failures.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticarch_load::fleet::{self, objects};
use masticarch_model::version;
use masticarch_wire::message::operator;

use crate::{arranged, check, operation, watch, writer};

/// Time for a change to be answered once the faults are over.
pub const REPAIR: Duration = Duration::from_secs(10);

/// A fleet of three control processes and two nodes.
pub struct Group {
    /// The fleet.
    pub fleet: fleet::Fleet,
    /// Version of its first configuration.
    pub version: version::Version,
}

impl Group {
    /// Starts the fleet, with fault proxies between its processes if asked to,
    /// and prints the seed.
    ///
    /// # Panics
    /// When the fleet does not start.
    pub async fn arrange(seed: u64, proxies: bool) -> Self {
        println!("seed {seed}");
        let spec = fleet::Spec::builder()
            .controls(3)
            .nodes(vec![arranged::bare_node(), arranged::bare_node()])
            .proxies(proxies)
            .seed(seed)
            .build();
        let objects = objects::Objects::new(seed, &["normal"]);
        let fleet = arranged::arrange(&spec, objects).await;
        let (version, _) = fleet.operator.configuration().await.expect("a leader");
        Self { fleet, version }
    }

    /// An operator who knows the first configuration.
    #[must_use]
    pub fn writer(&self, seed: u64) -> writer::Writer {
        self.writer_through(self.operator_ports(), seed)
    }

    /// An operator who reaches the control processes at other addresses.
    #[must_use]
    pub fn writer_through(&self, addresses: Vec<SocketAddr>, seed: u64) -> writer::Writer {
        writer::Writer::new(self.fleet.operator.clone(), addresses, self.version, seed)
    }

    /// Operator ports of the control processes.
    #[must_use]
    pub fn operator_ports(&self) -> Vec<SocketAddr> {
        let controls = self.fleet.controls.iter();
        controls.map(|control| control.settings.operator).collect()
    }

    /// Admin ports of the nodes.
    #[must_use]
    pub fn nodes(&self) -> Vec<SocketAddr> {
        let nodes = self.fleet.nodes.iter();
        nodes.map(|node| node.settings.admin).collect()
    }

    /// What the leader reports.
    ///
    /// # Panics
    /// When no leader answers.
    pub async fn reported(&self) -> check::Reported {
        let history = self
            .fleet
            .operator
            .call(&operator::Request::History(u32::MAX));
        let Ok(operator::Reply::History(history)) = history.await else {
            panic!("the leader does not report the history");
        };
        let (_, configuration) = self.fleet.operator.configuration().await.expect("a leader");
        check::Reported {
            history,
            configuration,
        }
    }

    /// Checks what a test recorded, after the present version has reached every
    /// node. Returns all violations.
    ///
    /// # Panics
    /// When the version does not reach every node.
    pub async fn violations(
        &self,
        operations: &[operation::Operation],
        observations: &[watch::Observation],
    ) -> Vec<String> {
        let (version, _) = self.fleet.operator.configuration().await.expect("a leader");
        let names = self.fleet.node_names();
        let in_force = self.fleet.operator.wait_applied(version, &names, REPAIR);
        in_force.await.expect("the nodes hold the present version");
        let mut violations = check::changes(operations, &self.reported().await);
        violations.extend(check::versions(observations));
        violations
    }

    /// Waits until all control processes have applied the same log.
    ///
    /// # Panics
    /// When they have not after [`REPAIR`].
    pub async fn converged(&self) {
        let started = Instant::now();
        while started.elapsed() < REPAIR {
            let mut versions = Vec::new();
            for control in &self.fleet.controls {
                versions.push(control.version().await.unwrap_or_default());
            }
            if versions.iter().all(|version| *version == versions[0]) && versions[0] > 0 {
                return;
            }
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("the control processes have not applied the same log");
    }
}

/// Number of acknowledged changes.
#[must_use]
pub fn accepted(operations: &[operation::Operation]) -> usize {
    let accepted = |operation: &&operation::Operation| {
        matches!(operation.outcome, operation::Outcome::Accepted(_))
    };
    operations.iter().filter(accepted).count()
}

/// Number of changes that were not answered in time.
#[must_use]
pub fn unknown(operations: &[operation::Operation]) -> usize {
    let unknown =
        |operation: &&operation::Operation| operation.outcome == operation::Outcome::Unknown;
    operations.iter().filter(unknown).count()
}
