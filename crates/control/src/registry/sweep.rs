//! The task that removes settled claims from the catalog after their retention.

use std::time::Duration;

use masticarch_kernel::stop;
use masticarch_model::command;

use super::message;
use crate::services;

/// Time between removals, which is short compared with the retention of ten minutes.
const SWEEP_PERIOD: Duration = Duration::from_secs(10);

/// Proposes the removal of settled claims until the service is asked to stop.
pub async fn run(services: services::Services, stop: stop::Stop) {
    while monoio::time::timeout(SWEEP_PERIOD, stop.wait())
        .await
        .is_err()
    {
        sweep(&services).await;
    }
}

async fn sweep(services: &services::Services) {
    loop {
        let asked = services.registry.ask(message::Message::ExpiredClaims).await;
        let subjects = asked.unwrap_or_default();
        if subjects.is_empty() {
            return;
        }
        let command = command::Command::Forget(subjects);
        if services.commands.commit(&command).await.is_err() {
            return;
        }
    }
}
