//! The long poll of a node, which also records its contact, join and targets.

use std::time::Duration;

use masticarch_kernel::reply;
use masticarch_model::{code, command, name, outcome, version};
use masticarch_wire::message::sync;

use crate::registry::{answer, presence};
use crate::{agreement, liveness, registry, services};

/// Maximum time for which a poll is held, whatever the node asks for.
const MAX_HOLD: Duration = Duration::from_secs(1);

/// Updates the node's record, then answers as soon as something newer than the held
/// version is published, or without deltas after the hold time.
///
/// # Errors
/// [`code::Code::VersionConflict`] when a later incarnation has replaced the
/// node, [`code::Code::NoQuorum`] when a service has stopped.
pub async fn answer(
    services: &services::Services,
    request: sync::Request,
) -> Result<sync::Reply, code::Code> {
    // The quorum round starts after the request arrived, and the registry is read
    // after the round, so the answer holds everything that was committed before the
    // node sent the request.
    if services
        .log
        .confirm(agreement::message::Round::Heartbeat)
        .await
        .is_err()
    {
        return Ok(sync::Reply::NotLeader(services.log.leader().await));
    }
    let held = request.held;
    let limit = Duration::from_millis(u64::from(request.hold_ms)).min(MAX_HOLD);
    match renew(services, request).await {
        // A node that was removed before its announcement was applied joins again
        // with its next poll.
        Ok(()) | Err(code::Code::NoSuchObject) => {}
        Err(refused @ (code::Code::VersionConflict | code::Code::NoQuorum)) => return Err(refused),
        Err(_) => return Ok(sync::Reply::NotLeader(services.log.leader().await)),
    }
    let answer = poll(services, held, limit).await?;
    Ok(match answer {
        answer::Answer::Deltas(version, deltas) => sync::Reply::Deltas(version, deltas),
        answer::Answer::Snapshot(view) => sync::Reply::Snapshot(view),
    })
}

/// Records the contact and commits a join, announcement or departure of the node if
/// the catalog's record is out of date.
async fn renew(services: &services::Services, request: sync::Request) -> Result<(), code::Code> {
    let node = request.node;
    if request.leaving {
        let command = command::Command::Leave(node.name, node.incarnation);
        return commit(services, &command).await;
    }
    let contact = liveness::message::Contact {
        name: node.name.clone(),
        incarnation: node.incarnation,
        held: request.held,
        loads: request.loads,
    };
    send(services, liveness::message::Message::Contact(contact)).await?;
    let targets = request.targets;
    let asked = services
        .registry
        .ask(|reply| registry::message::Message::Presence(node.clone(), targets.clone(), reply));
    let presence = asked.await.map_err(|_| code::Code::NoQuorum)?;
    if presence == presence::Presence::Absent {
        if is_join_delayed(services, &node.name).await? {
            return Ok(());
        }
        let name = node.name.clone();
        commit(services, &command::Command::Join(node.clone())).await?;
        send(services, liveness::message::Message::Joined(name)).await?;
    }
    let announces = match presence {
        presence::Presence::Absent => !targets.is_empty(),
        presence::Presence::Outdated => true,
        presence::Presence::Current => false,
    };
    if announces && !is_damped(services, &node.name).await? {
        let command = command::Command::Announce(node.name, node.incarnation, targets);
        commit(services, &command).await?;
    }
    Ok(())
}

/// Whether the node's join is delayed. Its next poll tries again.
async fn is_join_delayed(
    services: &services::Services,
    name: &name::Name,
) -> Result<bool, code::Code> {
    is_delayed(services, |reply| {
        liveness::message::Message::JoinDelay(name.clone(), reply)
    })
    .await
}

/// Whether the node's announcements are delayed. Its next poll tries again.
async fn is_damped(services: &services::Services, name: &name::Name) -> Result<bool, code::Code> {
    is_delayed(services, |reply| {
        liveness::message::Message::Damping(name.clone(), reply)
    })
    .await
}

async fn is_delayed(
    services: &services::Services,
    build: impl FnOnce(reply::Reply<Duration>) -> liveness::message::Message,
) -> Result<bool, code::Code> {
    let asked = services.liveness.ask(build).await;
    let delay = asked.map_err(|_| code::Code::NoQuorum)?;
    Ok(!delay.is_zero())
}

async fn commit(
    services: &services::Services,
    command: &command::Command,
) -> Result<(), code::Code> {
    match services.commands.commit(command).await? {
        outcome::Outcome::Refused(code) => {
            services.metrics.refused(code);
            Err(code)
        }
        _ => Ok(()),
    }
}

async fn send(
    services: &services::Services,
    message: liveness::message::Message,
) -> Result<(), code::Code> {
    let sent = services.liveness.send(message).await;
    sent.map_err(|_| code::Code::NoQuorum)
}

async fn poll(
    services: &services::Services,
    held: version::Version,
    limit: Duration,
) -> Result<answer::Answer, code::Code> {
    let asked = services
        .registry
        .ask(|reply| registry::message::Message::Poll(held, reply));
    if let Ok(answered) = monoio::time::timeout(limit, asked).await {
        return answered.map_err(|_| code::Code::NoQuorum);
    }
    let current = |reply| registry::message::Message::Current(held, reply);
    let answered = services.registry.ask(current).await;
    answered.map_err(|_| code::Code::NoQuorum)
}
