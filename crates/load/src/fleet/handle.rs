//! A running fleet.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use masticarch_model::name;
use masticarch_wire::handshake;

use super::{binary, hosts, operator, process, ready, settings, spec};
use crate::{error, ports, proxy, standin};

/// Secret of the fleet.
const FLEET_SECRET: &str = "secret of a loopback test fleet";
/// Name of the operator credential.
const OPERATOR: &str = "tester";
/// Secret of the operator credential.
const OPERATOR_SECRET: &str = "secret of a loopback test operator";

/// Lines of a log that a failed start shows.
const LOG_LINES: usize = 20;

/// A control process.
pub struct Control {
    /// The process.
    pub process: process::Process,
    /// Its settings.
    pub settings: settings::Control,
    /// The fault proxy before its member port.
    pub proxy: Option<proxy::Handle>,
}

/// A node process and the stand-in beside it.
pub struct Node {
    /// The process.
    pub process: process::Process,
    /// Its settings.
    pub settings: settings::Node,
    /// The fault proxy before its peer port.
    pub proxy: Option<proxy::Handle>,
    /// The stand-in.
    pub target: Option<standin::host::Host>,
}

/// A running fleet. All its processes end when it is dropped.
pub struct Fleet {
    /// The control processes.
    pub controls: Vec<Control>,
    /// The nodes, in the order of the description.
    pub nodes: Vec<Node>,
    /// An operator of the fleet.
    pub operator: operator::Operator,
    directory: tempfile::TempDir,
}

impl Fleet {
    /// Starts the processes of a fleet on the current runtime; [`Self::ready`]
    /// waits for them.
    ///
    /// # Errors
    /// [`error::Error::Missing`] without a daemon, [`error::Error::Io`] when a
    /// process cannot be started.
    pub fn start(spec: &spec::Spec) -> Result<Self, error::Error> {
        let program = binary::locate()?;
        let directory = tempfile::tempdir()?;
        let start = Start {
            program,
            directory: directory.path(),
            spec,
        };
        start.secrets()?;
        let controls = start.controls()?;
        let members: Vec<_> = controls.iter().map(Control::reached).collect();
        let nodes = (0..spec.nodes.len())
            .map(|index| start.node(index, &members))
            .collect::<Result<_, _>>()?;
        let addresses = controls.iter().map(|control| control.settings.operator);
        let credential = handshake::Credential::new(name::Name::new(OPERATOR), OPERATOR_SECRET);
        Ok(Self {
            operator: operator::Operator::new(addresses.collect(), credential),
            controls,
            nodes,
            directory,
        })
    }

    /// Waits until every process says that it is ready.
    ///
    /// # Errors
    /// [`error::Error::Timeout`] when one is not ready after the limit.
    pub async fn ready(&self, limit: Duration) -> Result<(), error::Error> {
        for control in &self.controls {
            wait_ready(control.settings.admin, &control.process, limit).await?;
        }
        for node in &self.nodes {
            wait_ready(node.settings.admin, &node.process, limit).await?;
        }
        Ok(())
    }

    /// Waits until every stand-in is known as a target.
    ///
    /// # Errors
    /// [`error::Error::Timeout`] when one is not known after the limit.
    pub async fn targets_known(&self, limit: Duration) -> Result<(), error::Error> {
        let expected = self
            .nodes
            .iter()
            .filter(|node| node.target.is_some())
            .count();
        let started = std::time::Instant::now();
        while started.elapsed() < limit {
            let status = self.operator.status().await?;
            let known: usize = status.nodes.iter().map(|node| node.targets.len()).sum();
            if known >= expected {
                return Ok(());
            }
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
        Err(error::Error::Timeout("all targets to be known".into()))
    }

    /// Names of the nodes.
    #[must_use]
    pub fn names(&self) -> Vec<name::Name> {
        let names = self.nodes.iter().map(|node| node.settings.name.as_str());
        names.map(name::Name::new).collect()
    }

    /// Caller ports of the nodes.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.settings.caller).collect()
    }

    /// Directory of settings, data and logs, which is removed with the fleet.
    #[must_use]
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }
}

/// Waits for one process; a failure shows the end of its log, because the log
/// itself is removed with the fleet.
async fn wait_ready(
    admin: SocketAddr,
    process: &process::Process,
    limit: Duration,
) -> Result<(), error::Error> {
    let Err(failure) = ready::wait(admin, limit).await else {
        return Ok(());
    };
    let log = process.log().unwrap_or_default();
    let lines: Vec<_> = log.lines().collect();
    let tail = lines[lines.len().saturating_sub(LOG_LINES)..].join("\n");
    Err(error::Error::Timeout(format!(
        "{failure}; the log ends with:\n{tail}"
    )))
}

impl Control {
    /// Address under which others reach its member port.
    fn reached(&self) -> SocketAddr {
        self.settings.advertised.unwrap_or(self.settings.member)
    }
}

/// What the start of a fleet works with.
struct Start<'a> {
    program: PathBuf,
    directory: &'a Path,
    spec: &'a spec::Spec,
}

impl Start<'_> {
    fn fleet_secret(&self) -> PathBuf {
        self.directory.join("fleet.secret")
    }

    fn operator_secret(&self) -> PathBuf {
        self.directory.join("operator.secret")
    }

    fn secrets(&self) -> Result<(), error::Error> {
        std::fs::write(self.fleet_secret(), FLEET_SECRET)?;
        std::fs::write(self.operator_secret(), OPERATOR_SECRET)?;
        Ok(())
    }

    fn launch(&self, role: &str, name: &str) -> Result<process::Process, error::Error> {
        let file = self.directory.join(format!("{name}.yaml"));
        let arguments = [role, "--settings", &file.to_string_lossy()].map(str::to_owned);
        let log = self.directory.join(format!("{name}.log"));
        process::Process::start(self.program.clone(), arguments.into(), log)
    }

    fn write<T: serde::Serialize>(&self, name: &str, settings: &T) -> Result<(), error::Error> {
        settings::write(&self.directory.join(format!("{name}.yaml")), settings)
    }

    /// A fault proxy before an address, if the fleet has proxies.
    fn proxy(&self, upstream: SocketAddr) -> Result<Option<proxy::Handle>, error::Error> {
        if !self.spec.proxies {
            return Ok(None);
        }
        let listening = ports::free(upstream.ip())?;
        proxy::Handle::start(listening, upstream).map(Some)
    }

    fn controls(&self) -> Result<Vec<Control>, error::Error> {
        let mut prepared = Vec::new();
        let mut members = Vec::new();
        for id in (1..).take(self.spec.controls) {
            let host = hosts::next();
            let member = ports::free(host)?;
            let proxy = self.proxy(member)?;
            let advertised = proxy.as_ref().map(proxy::Handle::listening);
            let address = advertised.unwrap_or(member);
            members.push(settings::Member { id, address });
            let settings = self.control_settings(id, member, advertised)?;
            prepared.push((settings, proxy));
        }
        let start = |(mut settings, proxy): (settings::Control, _)| {
            settings.members.clone_from(&members);
            let name = format!("control-{}", settings.id);
            self.write(&name, &settings)?;
            let process = self.launch("control", &name)?;
            Ok(Control {
                process,
                settings,
                proxy,
            })
        };
        prepared.into_iter().map(start).collect()
    }

    fn control_settings(
        &self,
        id: u64,
        member: SocketAddr,
        advertised: Option<SocketAddr>,
    ) -> Result<settings::Control, error::Error> {
        let operator = settings::Operator {
            name: OPERATOR.into(),
            secret_file: self.operator_secret(),
        };
        Ok(settings::Control {
            id,
            member,
            advertised,
            operator: ports::free(member.ip())?,
            admin: ports::free(member.ip())?,
            data: self.directory.join(format!("data-{id}")),
            members: Vec::new(),
            new: true,
            join: false,
            secret_file: self.fleet_secret(),
            operators: vec![operator],
        })
    }

    fn node(&self, index: usize, members: &[SocketAddr]) -> Result<Node, error::Error> {
        let description = &self.spec.nodes[index];
        let host = hosts::next();
        let peer = ports::free(host)?;
        let proxy = self.proxy(peer)?;
        let settings = settings::Node {
            name: format!("node-{index}"),
            region: description.region.clone(),
            domain: description.domain.clone(),
            caller: ports::free(host)?,
            peer,
            advertised: proxy.as_ref().map(proxy::Handle::listening),
            admin: ports::free(host)?,
            control: members.to_vec(),
            secret_file: self.fleet_secret(),
            decisions: self.spec.decisions,
        };
        self.write(&settings.name, &settings)?;
        let process = self.launch("node", &settings.name)?;
        let target = description
            .target
            .as_ref()
            .map(|target| self.target(index, target, &settings))
            .transpose()?;
        Ok(Node {
            process,
            settings,
            proxy,
            target,
        })
    }

    fn target(
        &self,
        index: usize,
        target: &spec::Target,
        node: &settings::Node,
    ) -> Result<standin::host::Host, error::Error> {
        let host = node.caller.ip();
        let settings = standin::Settings::builder()
            .service(target.service.as_str())
            .address(ports::free(host)?)
            .control(ports::free(host)?)
            .node_admin(node.admin)
            .node_caller(node.caller)
            .slots(target.slots)
            .connections(target.connections)
            .service_ms(target.service_ms)
            .behaviour(target.behaviour)
            .calls(target.calls.clone())
            .seed(self.spec.seed.wrapping_add(index as u64))
            .build();
        standin::host::Host::start(settings)
    }
}
