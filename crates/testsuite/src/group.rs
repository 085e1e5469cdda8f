//! Fleets with three control processes, for tests of failures in the control group.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticarch_load::fleet::{self, objects};
use masticarch_model::version;
use masticarch_wire::message::operator;

use crate::{check, operation, setup, watch, writer};

/// Longest wait for a change to be answered once the faults are over.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(10);

/// A fleet with a control group of three processes, and two nodes.
pub struct Group {
    /// The fleet.
    pub fleet: fleet::Fleet,
    /// Version of the first configuration.
    pub version: version::Version,
}

impl Group {
    /// Starts the fleet and prints the seed; `proxies` puts fault proxies between
    /// the processes.
    ///
    /// # Panics
    /// When the fleet does not start.
    pub async fn start(seed: u64, proxies: bool) -> Self {
        println!("seed {seed}");
        let spec = fleet::Spec::builder()
            .controls(3)
            .nodes(vec![setup::bare_node(), setup::bare_node()])
            .proxies(proxies)
            .seed(seed)
            .build();
        let objects = objects::Objects::new(seed, &["normal"]);
        let fleet = setup::fleet(&spec, objects).await;
        let (version, _) = fleet
            .operator
            .configuration()
            .await
            .expect("the leader answers");
        Self { fleet, version }
    }

    /// A writer that expects the first configuration.
    #[must_use]
    pub fn writer(&self, seed: u64) -> writer::Writer {
        self.writer_through(self.operator_ports(), seed)
    }

    /// A writer that reaches the control processes at the given addresses, such as
    /// those of proxies.
    #[must_use]
    pub fn writer_through(&self, addresses: Vec<SocketAddr>, seed: u64) -> writer::Writer {
        writer::Writer::new(self.fleet.operator.clone(), addresses, self.version, seed)
    }

    /// Addresses of the control processes' operator ports.
    #[must_use]
    pub fn operator_ports(&self) -> Vec<SocketAddr> {
        let controls = self.fleet.controls.iter();
        controls.map(|control| control.settings.operator).collect()
    }

    /// Addresses of the nodes' admin ports.
    #[must_use]
    pub fn admin_ports(&self) -> Vec<SocketAddr> {
        let nodes = self.fleet.nodes.iter();
        nodes.map(|node| node.settings.admin).collect()
    }

    /// The history and the configuration, as the leader reports them.
    ///
    /// # Panics
    /// When no leader answers.
    pub async fn report(&self) -> check::Report {
        let history = self
            .fleet
            .operator
            .call(&operator::Request::History(u32::MAX));
        let Ok(operator::Reply::History(history)) = history.await else {
            panic!("the leader does not report the history");
        };
        let (_, configuration) = self
            .fleet
            .operator
            .configuration()
            .await
            .expect("the leader answers");
        check::Report {
            history,
            configuration,
        }
    }

    /// Waits until the current version has reached every node, then checks what a
    /// test recorded and returns all violations.
    ///
    /// # Panics
    /// When the version does not reach every node in [`RECOVERY_TIMEOUT`].
    pub async fn violations(
        &self,
        operations: &[operation::Operation],
        observations: &[watch::Observation],
    ) -> Vec<String> {
        let (version, _) = self
            .fleet
            .operator
            .configuration()
            .await
            .expect("the leader answers");
        let names = self.fleet.node_names();
        let in_force = self
            .fleet
            .operator
            .wait_applied(version, &names, RECOVERY_TIMEOUT);
        in_force.await.expect("the nodes hold the current version");
        let mut violations = check::changes(operations, &self.report().await);
        violations.extend(check::versions(observations));
        violations
    }

    /// Waits until all control processes have applied the log up to the same index.
    ///
    /// # Panics
    /// When they have not within [`RECOVERY_TIMEOUT`].
    pub async fn wait_converged(&self) {
        let started = Instant::now();
        while started.elapsed() < RECOVERY_TIMEOUT {
            let mut versions = Vec::new();
            for control in &self.fleet.controls {
                versions.push(control.version().await.unwrap_or_default());
            }
            if versions.iter().all(|version| *version == versions[0]) && versions[0] > 0 {
                return;
            }
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("the control processes have not applied the log up to the same index");
    }
}

/// Number of acknowledged changes.
#[must_use]
pub fn accepted_count(operations: &[operation::Operation]) -> usize {
    let accepted = |operation: &&operation::Operation| {
        matches!(operation.outcome, operation::Outcome::Accepted(_))
    };
    operations.iter().filter(accepted).count()
}

/// Number of changes that were not answered in time.
#[must_use]
pub fn unknown_count(operations: &[operation::Operation]) -> usize {
    let unknown =
        |operation: &&operation::Operation| operation.outcome == operation::Outcome::Unknown;
    operations.iter().filter(unknown).count()
}
