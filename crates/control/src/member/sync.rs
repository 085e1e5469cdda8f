//! The long poll of a node, which also records its contact, join and targets.

use std::time::Duration;

use masticarch_kernel::reply;
use masticarch_model::{code, command, name, outcome, run, version};
use masticarch_wire::message::sync;

use crate::registry::{answer, registration};
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
    let max_wait = Duration::from_millis(u64::from(request.hold_ms)).min(MAX_HOLD);
    match update_node(services, request).await {
        // A node that was removed before its announcement was applied joins again
        // with its next poll.
        Ok(()) | Err(code::Code::NoSuchObject) => {}
        Err(refused @ (code::Code::VersionConflict | code::Code::NoQuorum)) => return Err(refused),
        Err(_) => return Ok(sync::Reply::NotLeader(services.log.leader().await)),
    }
    let answer = poll(services, held, max_wait).await?;
    Ok(match answer {
        answer::Answer::Deltas(version, deltas) => sync::Reply::Deltas(version, deltas),
        answer::Answer::Snapshot(view) => sync::Reply::Snapshot(view),
    })
}

/// Commits the removal of a node that shuts down gracefully. For any other node,
/// records the contact, and commits its join or announcement if the catalog's record
/// is out of date.
async fn update_node(
    services: &services::Services,
    request: sync::Request,
) -> Result<(), code::Code> {
    let node = request.node;
    record_departures(services, &node.name, request.departed).await?;
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
    let asked = services.registry.ask(|reply| {
        registry::message::Message::Registration(
            node.clone(),
            request.targets,
            request.renewals,
            reply,
        )
    });
    let (registration, targets) = asked.await.map_err(|_| code::Code::NoQuorum)?;
    if registration == registration::Registration::Absent {
        if is_join_delayed(services, &node.name).await? {
            return Ok(());
        }
        let name = node.name.clone();
        commit(services, &command::Command::Join(node.clone())).await?;
        send(services, liveness::message::Message::Joined(name)).await?;
    }
    let announces = match registration {
        registration::Registration::Absent => !targets.is_empty(),
        registration::Registration::Outdated => true,
        registration::Registration::Current => false,
    };
    if announces && !is_damped(services, &node.name).await? {
        let command = command::Command::Announce(node.name, node.incarnation, targets);
        commit(services, &command).await?;
    }
    Ok(())
}

/// Commits the departures that are not recorded yet.
async fn record_departures(
    services: &services::Services,
    node: &name::Name,
    departed: Vec<run::Run>,
) -> Result<(), code::Code> {
    if departed.is_empty() {
        return Ok(());
    }
    let asked = services
        .registry
        .ask(|reply| registry::message::Message::Unrecorded(node.clone(), departed, reply));
    let departed = asked.await.map_err(|_| code::Code::NoQuorum)?;
    if departed.is_empty() {
        return Ok(());
    }
    tracing::info!(%node, ?departed, "targets of a node are leaving");
    commit(services, &command::Command::Depart(node.clone(), departed)).await
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
    max_wait: Duration,
) -> Result<answer::Answer, code::Code> {
    let asked = services
        .registry
        .ask(|reply| registry::message::Message::Poll(held, reply));
    if let Ok(answered) = monoio::time::timeout(max_wait, asked).await {
        return answered.map_err(|_| code::Code::NoQuorum);
    }
    let current = |reply| registry::message::Message::Current(held, reply);
    let answered = services.registry.ask(current).await;
    answered.map_err(|_| code::Code::NoQuorum)
}
