//! Starts the processes of a fleet.

use std::net::SocketAddr;
use std::path::PathBuf;

use masticarch_model::name;
use masticarch_wire::handshake;

use super::handle::Node;
use super::{control, hosts, process, settings, spec};
use crate::{error, ports, proxy, standin};

/// Secret of the fleet.
const FLEET_SECRET: &str = "secret of a loopback test fleet";
/// Name of the operator credential.
const OPERATOR: &str = "tester";
/// Secret of the operator credential.
const OPERATOR_SECRET: &str = "secret of a loopback test operator";

/// A control process before its start.
struct Prepared {
    settings: settings::Control,
    proxy: Option<proxy::Handle>,
    links: Vec<control::Link>,
}

/// The founders, each under the address at which one of them reaches it.
fn seen_by(from: u64, founders: &[Prepared]) -> Vec<settings::Member> {
    let seen = founders.iter().map(|founder| settings::Member {
        id: founder.settings.id,
        address: control::reached(&founder.settings, &founder.links, from),
    });
    seen.collect()
}

/// What processes of a fleet are started with.
pub struct Start {
    /// The daemon.
    pub program: PathBuf,
    /// Directory of settings, data and logs.
    pub directory: PathBuf,
    /// Description of the fleet.
    pub spec: spec::Spec,
}

/// The credential of the operator.
pub fn credential() -> handshake::Credential {
    handshake::Credential::new(name::Name::new(OPERATOR), OPERATOR_SECRET)
}

impl Start {
    fn fleet_secret(&self) -> PathBuf {
        self.directory.join("fleet.secret")
    }

    fn operator_secret(&self) -> PathBuf {
        self.directory.join("operator.secret")
    }

    /// Writes the files with secrets.
    pub fn secrets(&self) -> Result<(), error::Error> {
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

    /// Starts the control processes that found the group.
    pub fn controls(&self) -> Result<Vec<control::Control>, error::Error> {
        let prepared = (1..).take(self.spec.controls).map(|id| self.prepare(id));
        let mut prepared: Vec<_> = prepared.collect::<Result<_, error::Error>>()?;
        let ids: Vec<_> = prepared.iter().map(|one| one.settings.id).collect();
        for founder in &mut prepared {
            founder.links = self.links(&ids, &founder.settings)?;
        }
        let members: Vec<_> = ids.iter().map(|id| seen_by(*id, &prepared)).collect();
        for (founder, members) in prepared.iter_mut().zip(members) {
            founder.settings.members = members;
        }
        let launch = |founder| self.launch_control(founder);
        prepared.into_iter().map(launch).collect()
    }

    /// Starts a control process that joins a group.
    pub fn joining_control(&self, id: u64) -> Result<control::Control, error::Error> {
        let mut joining = self.prepare(id)?;
        joining.settings.join = true;
        self.launch_control(joining)
    }

    fn prepare(&self, id: u64) -> Result<Prepared, error::Error> {
        let member = ports::free(hosts::next())?;
        let proxy = self.proxy(member)?;
        let advertised = proxy.as_ref().map(proxy::Handle::listening);
        Ok(Prepared {
            settings: self.control_settings(id, member, advertised)?,
            proxy,
            links: Vec::new(),
        })
    }

    /// Fault proxies for the connections of every other founder to one.
    fn links(
        &self,
        ids: &[u64],
        to: &settings::Control,
    ) -> Result<Vec<control::Link>, error::Error> {
        let others = ids.iter().copied().filter(|id| *id != to.id);
        let mut links = Vec::new();
        for from in others {
            let proxy = self.proxy(to.member)?;
            links.extend(proxy.map(|proxy| control::Link { from, proxy }));
        }
        Ok(links)
    }

    fn launch_control(&self, prepared: Prepared) -> Result<control::Control, error::Error> {
        let name = format!("control-{}", prepared.settings.id);
        self.write(&name, &prepared.settings)?;
        Ok(control::Control {
            process: self.launch("control", &name)?,
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

    /// Starts a node and the stand-in beside it.
    pub fn node(&self, index: usize, members: &[SocketAddr]) -> Result<Node, error::Error> {
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
