//! Starts the processes of a fleet.

use std::net::SocketAddr;
use std::path::PathBuf;

use masticarch_model::name;
use masticarch_wire::handshake;

use super::handle::Node;
use super::{control, hosts, process, settings, spec};
use crate::{error, ports, proxy, standin};

/// Shared secret of the fleet's processes.
const FLEET_SECRET: &str = "secret of a loopback test fleet";
/// Name of the operator credential.
const OPERATOR: &str = "tester";
/// Secret of that credential.
const OPERATOR_SECRET: &str = "secret of a loopback test operator";

/// Settings and proxies of a control process that is about to be started.
struct Prepared {
    settings: settings::Control,
    proxy: Option<proxy::Handle>,
    links: Vec<control::Link>,
}

/// The founding members, each with the address at which the founder `from` reaches
/// it.
fn members_seen_from(from: u64, founders: &[Prepared]) -> Vec<settings::Member> {
    let members = founders.iter().map(|founder| settings::Member {
        id: founder.settings.id,
        address: control::address_from(&founder.settings, &founder.links, from),
    });
    members.collect()
}

/// Starts the processes of a fleet.
pub struct Launcher {
    /// Path of the daemon's program.
    pub program: PathBuf,
    /// Directory of settings, data and logs.
    pub directory: PathBuf,
    /// Description of the fleet.
    pub spec: spec::Spec,
}

/// Credential of the fleet's operator.
pub fn credential() -> handshake::Credential {
    handshake::Credential::new(name::Name::new(OPERATOR), OPERATOR_SECRET)
}

impl Launcher {
    fn fleet_secret(&self) -> PathBuf {
        self.directory.join("fleet.secret")
    }

    fn operator_secret(&self) -> PathBuf {
        self.directory.join("operator.secret")
    }

    /// Writes the files with the secrets of the fleet and of the operator.
    pub fn write_secrets(&self) -> Result<(), error::Error> {
        std::fs::write(self.fleet_secret(), FLEET_SECRET)?;
        std::fs::write(self.operator_secret(), OPERATOR_SECRET)?;
        Ok(())
    }

    fn start_process(&self, role: &str, name: &str) -> Result<process::Process, error::Error> {
        let file = self.directory.join(format!("{name}.yaml"));
        let arguments = [role, "--settings", &file.to_string_lossy()].map(str::to_owned);
        let log = self.directory.join(format!("{name}.log"));
        process::Process::start(self.program.clone(), arguments.into(), log)
    }

    fn write_settings<T: serde::Serialize>(
        &self,
        name: &str,
        settings: &T,
    ) -> Result<(), error::Error> {
        settings::write(&self.directory.join(format!("{name}.yaml")), settings)
    }

    /// Starts a fault proxy in front of an address, if the fleet has proxies.
    fn start_proxy(&self, upstream: SocketAddr) -> Result<Option<proxy::Handle>, error::Error> {
        if !self.spec.proxies {
            return Ok(None);
        }
        let listening = ports::allocate(upstream.ip())?;
        proxy::Handle::start(listening, upstream).map(Some)
    }

    /// Starts the control processes that are the founding members of the group.
    pub fn start_controls(&self) -> Result<Vec<control::Control>, error::Error> {
        let founders = (1..).take(self.spec.controls).map(|id| self.prepare(id));
        let mut founders: Vec<_> = founders.collect::<Result<_, error::Error>>()?;
        let ids: Vec<_> = founders.iter().map(|founder| founder.settings.id).collect();
        for founder in &mut founders {
            founder.links = self.start_links(&ids, &founder.settings)?;
        }
        let members: Vec<_> = ids
            .iter()
            .map(|id| members_seen_from(*id, &founders))
            .collect();
        for (founder, members) in founders.iter_mut().zip(members) {
            founder.settings.members = members;
        }
        let start = |founder| self.start_control(founder);
        founders.into_iter().map(start).collect()
    }

    /// Starts a control process that joins an existing group.
    pub fn start_joining_control(&self, id: u64) -> Result<control::Control, error::Error> {
        let mut joining = self.prepare(id)?;
        joining.settings.join = true;
        self.start_control(joining)
    }

    fn prepare(&self, id: u64) -> Result<Prepared, error::Error> {
        let member = ports::allocate(hosts::allocate())?;
        let proxy = self.start_proxy(member)?;
        let advertised = proxy.as_ref().map(proxy::Handle::listening);
        Ok(Prepared {
            settings: self.control_settings(id, member, advertised)?,
            proxy,
            links: Vec::new(),
        })
    }

    /// Starts the fault proxies of the links from all other founders to one; none if the
    /// fleet has no proxies.
    fn start_links(
        &self,
        ids: &[u64],
        to: &settings::Control,
    ) -> Result<Vec<control::Link>, error::Error> {
        let others = ids.iter().copied().filter(|id| *id != to.id);
        let mut links = Vec::new();
        for from in others {
            let proxy = self.start_proxy(to.member)?;
            links.extend(proxy.map(|proxy| control::Link { from, proxy }));
        }
        Ok(links)
    }

    fn start_control(&self, prepared: Prepared) -> Result<control::Control, error::Error> {
        let name = format!("control-{}", prepared.settings.id);
        self.write_settings(&name, &prepared.settings)?;
        Ok(control::Control {
            process: self.start_process("control", &name)?,
            settings: prepared.settings,
            proxy: prepared.proxy,
            links: prepared.links,
        })
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
            operator: ports::allocate(member.ip())?,
            admin: ports::allocate(member.ip())?,
            data: self.directory.join(format!("data-{id}")),
            members: Vec::new(),
            new: true,
            join: false,
            secret_file: self.fleet_secret(),
            operators: vec![operator],
        })
    }

    /// Starts a node and the stand-in beside it.
    pub fn start_node(&self, index: usize, members: &[SocketAddr]) -> Result<Node, error::Error> {
        let spec = &self.spec.nodes[index];
        let host = hosts::allocate();
        let peer = ports::allocate(host)?;
        let proxy = self.start_proxy(peer)?;
        let settings = settings::Node {
            name: format!("node-{index}"),
            region: spec.region.clone(),
            domain: spec.domain.clone(),
            caller: ports::allocate(host)?,
            peer,
            advertised: proxy.as_ref().map(proxy::Handle::listening),
            admin: ports::allocate(host)?,
            control: members.to_vec(),
            secret_file: self.fleet_secret(),
            decisions: self.spec.decisions,
        };
        self.write_settings(&settings.name, &settings)?;
        let process = self.start_process("node", &settings.name)?;
        let target = spec
            .target
            .as_ref()
            .map(|target| self.start_target(index, target, &settings))
            .transpose()?;
        Ok(Node {
            process,
            settings,
            proxy,
            target,
        })
    }

    fn start_target(
        &self,
        index: usize,
        target: &spec::Target,
        node: &settings::Node,
    ) -> Result<standin::thread::Thread, error::Error> {
        let host = node.caller.ip();
        let settings = standin::Settings::builder()
            .service(target.service.as_str())
            .address(ports::allocate(host)?)
            .control(ports::allocate(host)?)
            .node_admin(node.admin)
            .node_caller(node.caller)
            .slots(target.slots)
            .connections(target.connections)
            .service_ms(target.service_ms)
            .behaviour(target.behaviour)
            .calls(target.calls.clone())
            .seed(self.spec.seed.wrapping_add(index as u64))
            .build();
        standin::thread::Thread::start(settings)
    }
}
