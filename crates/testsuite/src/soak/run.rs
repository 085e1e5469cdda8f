//! One run of a soak.

use std::time::Duration;

use futures::future;
use masticarch_load::fleet;
use masticarch_load::generator::{self, team};
use masticarch_load::standin;

use super::{history, injector};

/// What a run of a soak has shown.
pub struct Run {
    /// Outcome of each request.
    pub report: generator::Report,
    /// Injected faults.
    pub history: history::History,
    /// Executions at each target.
    pub executions: Vec<standin::record::Executions>,
}

impl Run {
    /// Sends load to a fleet, injects faults for this time, and collects what has happened.
    ///
    /// # Panics
    /// When load cannot be sent, a process cannot be signalled or a target has stopped.
    pub async fn collect(
        mut fleet: fleet::Fleet,
        plan: generator::Plan,
        injector: injector::Injector,
        fault_time: Duration,
    ) -> Self {
        let faults = injector.run(&mut fleet, fault_time);
        let (report, history) = future::join(generator::run(plan), faults).await;
        let mut executions = Vec::new();
        for target in fleet.nodes.iter().filter_map(|node| node.target.as_ref()) {
            executions.push(target.executions().await.unwrap());
        }
        Self {
            report: report.unwrap(),
            history,
            executions,
        }
    }
}

/// Requests per second to a path, each of which is resent twice elsewhere.
#[must_use]
pub fn load(path: &str, rate: f64, key: &str) -> generator::Team {
    let resend = team::Resend {
        attempts: 2,
        backoff_ms: 100,
        elsewhere: true,
    };
    let mut load = generator::Team::builder()
        .name(path)
        .path(path)
        .rate(rate)
        .resend(resend)
        .build();
    load.key = Some(key.to_owned());
    load
}
