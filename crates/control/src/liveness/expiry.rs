//! The task that removes silent nodes.

use std::time::Duration;

use masticarch_kernel::{error, stop};
use masticarch_model::{command, incarnation, map, name};

use super::message;
use crate::{quota, registry, services};

/// Time between checks for silent nodes, by which a removal may be late.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Proposes the removal of silent nodes until the service is asked to stop.
pub async fn run(services: services::Services, stop: stop::Stop) {
    while monoio::time::timeout(CHECK_PERIOD, stop.wait())
        .await
        .is_err()
    {
        if let Err(error) = expire(&services).await {
            tracing::warn!(%error, "check for silent nodes failed");
        }
    }
}

async fn expire(services: &services::Services) -> Result<(), error::Error> {
    let nodes = services
        .registry
        .ask(registry::message::Message::Nodes)
        .await?;
    let silent = services
        .liveness
        .ask(|reply| message::Message::Silent(nodes, reply))
        .await?;
    if silent.is_empty() {
        return Ok(());
    }
    let silent = without_shares(services, silent).await?;
    if silent.is_empty() {
        return Ok(());
    }
    let count = silent.len();
    let command = command::Command::Expire(silent);
    match services.commands.commit(&command).await {
        Ok(_) => services.metrics.expired(count),
        Err(code) => services.metrics.refused(code),
    }
    Ok(())
}

/// Keeps the silent nodes that hold no share of a rate limit any more. The others
/// must not be removed yet, because a later leader would not know of their shares.
async fn without_shares(
    services: &services::Services,
    mut silent: Vec<(name::Name, incarnation::Incarnation)>,
) -> Result<Vec<(name::Name, incarnation::Incarnation)>, error::Error> {
    let incarnations = silent.iter().map(|(_, incarnation)| *incarnation).collect();
    let released = services
        .quota
        .ask(|reply| quota::message::Message::Release(incarnations, reply));
    let released: map::Set<_> = released.await?.into_iter().collect();
    silent.retain(|(_, incarnation)| released.contains(incarnation));
    Ok(silent)
}
