//! Faults and repairs that are applied during an experiment.

use serde::{Deserialize, Serialize};

use crate::standin::behaviour;
use crate::{error, fleet, proxy};

/// Selects a process of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Process {
    /// The node with this number, from 0.
    Node(usize),
    /// The control process with this number, from 0.
    Control(usize),
    /// The control process that leads when the action is applied.
    Leader,
}

/// A fault or a repair.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Action {
    /// Kills a process (SIGKILL).
    Kill(Process),
    /// Stops a process without ending it (SIGSTOP).
    Freeze(Process),
    /// Continues all frozen processes (SIGCONT).
    ThawAll,
    /// Restarts all killed processes with their former settings.
    RestartKilled,
    /// Changes the behaviour of the stand-ins beside a range of nodes.
    Change {
        /// Number of the first node.
        first: usize,
        /// Number of the last node, which is included.
        last: usize,
        /// Change of the behaviour.
        change: behaviour::Change,
    },
    /// Cuts the existing connections between nodes.
    CutPeers(proxy::fault::Cut),
    /// Injects a fault into all connections to the member ports of control
    /// processes.
    FaultControls(proxy::Fault),
    /// Withdraws a key by its number in the configuration, from 0.
    WithdrawKey(usize),
}

/// An action and the time at which it is applied.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Timed {
    /// Time since the start of the load.
    pub at_ms: u64,
    /// Action to apply.
    pub action: Action,
}

impl Action {
    /// Applies the action to a fleet.
    ///
    /// # Errors
    /// Any error of the processes, proxies, stand-ins or operator's calls that the
    /// action uses.
    pub async fn apply(self, fleet: &mut fleet::Fleet) -> Result<(), error::Error> {
        match self {
            Self::Kill(process) => find_process(fleet, process).await?.kill(),
            Self::Freeze(process) => find_process(fleet, process).await?.freeze(),
            Self::ThawAll => processes(fleet).try_for_each(|process| process.thaw()),
            Self::RestartKilled => processes(fleet)
                .filter(|process| process.id().is_none())
                .try_for_each(fleet::process::Process::restart),
            Self::Change {
                first,
                last,
                change,
            } => change_targets(&fleet.nodes[first..=last], change).await,
            Self::CutPeers(cut) => cut_peers(fleet, cut).await,
            Self::FaultControls(fault) => fault_controls(fleet, fault).await,
            Self::WithdrawKey(index) => withdraw_key(fleet, index).await,
        }
    }
}

fn processes(fleet: &mut fleet::Fleet) -> impl Iterator<Item = &mut fleet::process::Process> {
    let nodes = fleet.nodes.iter_mut().map(|node| &mut node.process);
    let controls = fleet
        .controls
        .iter_mut()
        .map(|control| &mut control.process);
    nodes.chain(controls)
}

async fn find_process(
    fleet: &mut fleet::Fleet,
    process: Process,
) -> Result<&mut fleet::process::Process, error::Error> {
    match process {
        Process::Node(index) => Ok(&mut fleet.nodes[index].process),
        Process::Control(index) => Ok(&mut fleet.controls[index].process),
        Process::Leader => {
            let status = fleet.operator.status().await?;
            let leader = status.members.iter().find(|member| member.leads);
            let id = leader.map(|leader| leader.member.id.0);
            let mut controls = fleet.controls.iter_mut();
            let found = controls.find(|control| Some(control.settings.id) == id);
            found
                .map(|control| &mut control.process)
                .ok_or_else(|| error::Error::NotFound("the leader".into()))
        }
    }
}

async fn change_targets(
    nodes: &[fleet::handle::Node],
    change: behaviour::Change,
) -> Result<(), error::Error> {
    for target in nodes.iter().filter_map(|node| node.target.as_ref()) {
        target.change(change).await?;
    }
    Ok(())
}

async fn cut_peers(fleet: &fleet::Fleet, cut: proxy::fault::Cut) -> Result<(), error::Error> {
    for proxy in fleet.nodes.iter().filter_map(|node| node.proxy.as_ref()) {
        proxy.cut(cut).await?;
    }
    Ok(())
}

async fn fault_controls(fleet: &fleet::Fleet, fault: proxy::Fault) -> Result<(), error::Error> {
    for control in &fleet.controls {
        control.fault(fault).await?;
    }
    Ok(())
}

async fn withdraw_key(fleet: &fleet::Fleet, index: usize) -> Result<(), error::Error> {
    let (_, configuration) = fleet.operator.configuration().await?;
    let key = configuration.keys.get(index);
    let key = key.ok_or_else(|| error::Error::NotFound(format!("key {index}")))?;
    fleet.operator.withdraw_key(key.name.as_str()).await?;
    Ok(())
}
