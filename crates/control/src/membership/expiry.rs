//! The task that removes silent nodes.

use std::time::Duration;

use masticarch_kernel::{error, stop};
use masticarch_model::{command, incarnation, map, name};

use super::message;
use crate::{allotment, registry, services};

/// Time between looks at the contacts; adds to the time until a removal.
const PERIOD: Duration = Duration::from_millis(250);

/// Proposes the removal of silent nodes until the service is asked to stop.
pub async fn run(services: services::Services, stop: stop::Stop) {
    while monoio::time::timeout(PERIOD, stop.wait()).await.is_err() {
        if let Err(error) = expire(&services).await {
            tracing::warn!(%error, "silent nodes cannot be determined");
        }
    }
}

async fn expire(services: &services::Services) -> Result<(), error::Error> {
    let nodes = services
        .registry
        .ask(registry::message::Message::Nodes)
        .await?;
    let silent = services
        .membership
        .ask(|reply| message::Message::Silent(nodes, reply))
        .await?;
    if silent.is_empty() {
        return Ok(());
    }
    let silent = released(services, silent).await?;
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

/// Those of the silent nodes whose shares are over: after its removal, a later
/// leader would not know of them.
async fn released(
    services: &services::Services,
    mut silent: Vec<(name::Name, incarnation::Incarnation)>,
) -> Result<Vec<(name::Name, incarnation::Incarnation)>, error::Error> {
    let runs = silent.iter().map(|(_, incarnation)| *incarnation).collect();
    let released = services
        .allotment
        .ask(|reply| allotment::message::Message::Release(runs, reply));
    let released: map::Set<_> = released.await?.into_iter().collect();
    silent.retain(|(_, incarnation)| released.contains(incarnation));
    Ok(silent)
}
