//! A running fleet.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use masticarch_model::name;

use super::{binary, control, launcher, operator, partition, process, ready, settings, spec};
use crate::{error, proxy, standin};

/// Number of log lines that the error of a failed start shows.
const LOG_LINES: usize = 20;

/// A node process and the stand-in target beside it.
pub struct Node {
    /// Operating system process.
    pub process: process::Process,
    /// Settings with which it was started.
    pub settings: settings::Node,
    /// Fault proxy in front of its peer port; absent in a fleet without proxies.
    pub proxy: Option<proxy::Handle>,
    /// Stand-in target, if the description has one.
    pub target: Option<standin::thread::Thread>,
}

/// A running fleet. Its processes are killed when it is dropped.
pub struct Fleet {
    /// Control processes: the founding members by id, then those added later.
    pub controls: Vec<control::Control>,
    /// Nodes, in the order of the description.
    pub nodes: Vec<Node>,
    /// Operator client of the fleet.
    pub operator: operator::Operator,
    launcher: launcher::Launcher,
    directory: tempfile::TempDir,
}

impl Fleet {
    /// Starts the processes of a fleet, and its proxies on the current runtime;
    /// [`Self::wait_ready`] waits until they are ready.
    ///
    /// # Errors
    /// [`error::Error::NotFound`] when the daemon's program is not found,
    /// [`error::Error::Io`] when a process cannot be started.
    pub fn start(spec: &spec::Spec) -> Result<Self, error::Error> {
        let program = binary::locate()?;
        let directory = tempfile::tempdir()?;
        let launcher = launcher::Launcher {
            program,
            directory: directory.path().to_owned(),
            spec: spec.clone(),
        };
        launcher.write_secrets()?;
        let controls = launcher.start_controls()?;
        let members: Vec<_> = controls
            .iter()
            .map(control::Control::member_address)
            .collect();
        let nodes = (0..spec.nodes.len())
            .map(|index| launcher.start_node(index, &members))
            .collect::<Result<_, _>>()?;
        let addresses = controls.iter().map(|control| control.settings.operator);
        Ok(Self {
            operator: operator::Operator::new(addresses.collect(), launcher::credential()),
            controls,
            nodes,
            launcher,
            directory,
        })
    }

    /// Waits until every process reports that it is ready.
    ///
    /// # Errors
    /// [`error::Error::Timeout`] when a process is not ready after the timeout, which
    /// applies to each of them.
    pub async fn wait_ready(&self, timeout: Duration) -> Result<(), error::Error> {
        for control in &self.controls {
            wait_process_ready(control.settings.admin, &control.process, timeout).await?;
        }
        for node in &self.nodes {
            wait_process_ready(node.settings.admin, &node.process, timeout).await?;
        }
        Ok(())
    }

    /// Waits until the status of the fleet lists every stand-in as a target.
    ///
    /// # Errors
    /// [`error::Error::Timeout`] when a stand-in is not known after the timeout.
    pub async fn wait_targets(&self, timeout: Duration) -> Result<(), error::Error> {
        let expected = self
            .nodes
            .iter()
            .filter(|node| node.target.is_some())
            .count();
        let started = std::time::Instant::now();
        while started.elapsed() < timeout {
            let status = self.operator.status().await?;
            let known: usize = status.nodes.iter().map(|node| node.targets.len()).sum();
            if known >= expected {
                return Ok(());
            }
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(error::Error::Timeout("all targets to be known".into()))
    }

    /// Starts a control process with a new id and an empty data directory, which takes
    /// part once it is added to the control group. Returns its number.
    ///
    /// # Errors
    /// [`error::Error::Io`] when it cannot be started.
    pub fn add_control(&mut self, id: u64) -> Result<usize, error::Error> {
        let control = self.launcher.start_joining_control(id)?;
        self.operator.add_address(control.settings.operator);
        self.controls.push(control);
        Ok(self.controls.len() - 1)
    }

    /// Number of the control process that is the leader.
    ///
    /// # Errors
    /// [`error::Error::Timeout`] when no leader answers, [`error::Error::NotFound`] when
    /// the leader is no process of the fleet.
    pub async fn leader(&self) -> Result<usize, error::Error> {
        let status = self.operator.status().await?;
        let leader = status.members.iter().find(|member| member.leads);
        let id = leader.map(|leader| leader.member.id.0);
        let mut controls = self.controls.iter();
        controls
            .position(|control| Some(control.settings.id) == id)
            .ok_or_else(|| error::Error::NotFound("the leader".into()))
    }

    /// Isolates a control process from the other members and from the nodes by a
    /// network partition, without closing connections.
    ///
    /// # Errors
    /// [`error::Error::Kernel`] when a proxy has stopped.
    pub async fn partition(
        &self,
        index: usize,
        partition: partition::Partition,
    ) -> Result<(), error::Error> {
        self.fault_around(index, partition.towards(), partition.from())
            .await
    }

    /// Heals the partition of a control process. Bytes that were held back are
    /// delivered late.
    ///
    /// # Errors
    /// [`error::Error::Kernel`] when a proxy has stopped.
    pub async fn heal(&self, index: usize) -> Result<(), error::Error> {
        let none = proxy::Fault::default();
        self.fault_around(index, none, none).await
    }

    /// Injects the fault `towards` into connections that others open to a control
    /// process, and `from` into those that it opens to other members.
    async fn fault_around(
        &self,
        index: usize,
        towards: proxy::Fault,
        from: proxy::Fault,
    ) -> Result<(), error::Error> {
        let id = self.controls[index].settings.id;
        self.controls[index].fault(towards).await?;
        let links = self.controls.iter().flat_map(|control| &control.links);
        for link in links.filter(|link| link.from == id) {
            link.proxy.apply(from).await?;
        }
        Ok(())
    }

    /// Names of the nodes, in the order of [`Self::nodes`].
    #[must_use]
    pub fn node_names(&self) -> Vec<name::Name> {
        let names = self.nodes.iter().map(|node| node.settings.name.as_str());
        names.map(name::Name::new).collect()
    }

    /// Addresses of the nodes' caller ports, in the order of [`Self::nodes`].
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.settings.caller).collect()
    }

    /// Directory of settings, data and logs, which is removed when the fleet is
    /// dropped.
    #[must_use]
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }
}

/// Waits until a process is ready. The error contains the end of its log, because the
/// log file is removed when the fleet is dropped.
async fn wait_process_ready(
    admin: SocketAddr,
    process: &process::Process,
    timeout: Duration,
) -> Result<(), error::Error> {
    let Err(failure) = ready::wait(admin, timeout).await else {
        return Ok(());
    };
    let log = process.log().unwrap_or_default();
    let lines: Vec<_> = log.lines().collect();
    let tail = lines[lines.len().saturating_sub(LOG_LINES)..].join("\n");
    Err(error::Error::Timeout(format!(
        "{failure}; the log ends with:\n{tail}"
    )))
}
