//! The service that renews the node's shares of team limits.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future;
use masticarch_kernel::{address, stop};
use masticarch_model::incarnation;
use masticarch_wire::message::lease;

use crate::{contacts, gate, leader, options};

/// Shortest time between two requests. The gate holds back a team that has been
/// reported for 250 ms; a team that is new at the node must be reported well
/// before its first requests have waited for 200 ms.
const PACE: Duration = Duration::from_millis(50);
/// Time between two requests while no team's demand changes.
const STEADY: Duration = Duration::from_secs(1);
/// Part of the demand by which it must change for an early request.
const CHANGE: f64 = 0.25;

struct Lease {
    leader: leader::Leader,
    options: Rc<options::Options>,
    incarnation: incarnation::Incarnation,
    gate: address::Address<gate::message::Message>,
    last: Vec<lease::Report>,
    sent: Option<Instant>,
}

/// Runs the service until asked to stop.
pub async fn run(
    options: Rc<options::Options>,
    contacts: contacts::Contacts,
    incarnation: incarnation::Incarnation,
    gate: address::Address<gate::message::Message>,
    stop: stop::Stop,
) {
    let mut lease = Lease {
        leader: leader::Leader::new(contacts, options.credential.clone(), leader::TIMEOUT),
        options,
        incarnation,
        gate,
        last: Vec::new(),
        sent: None,
    };
    let renewing = std::pin::pin!(lease.renew());
    let stopped = std::pin::pin!(stop.wait());
    future::select(renewing, stopped).await;
}

impl Lease {
    /// Leaves its question with the gate all the time, so that the first request
    /// of a team does not wait for the next look at the reports.
    async fn renew(&mut self) {
        while let Ok(reports) = self.gate.ask(gate::message::Message::Reports).await {
            let asked = Instant::now();
            if self.is_due(&reports) {
                self.request(reports).await;
            }
            monoio::time::sleep_until((asked + PACE).into()).await;
        }
    }

    fn is_due(&self, reports: &[lease::Report]) -> bool {
        // A node without shares reports as well, so that a new owner knows that
        // there is nothing to wait for.
        let steady = self.sent.is_some_and(|sent| sent.elapsed() < STEADY);
        !steady || reports.iter().any(|report| self.has_changed(report))
    }

    fn has_changed(&self, report: &lease::Report) -> bool {
        let before = self.last.iter().find(|before| before.team == report.team);
        before.is_none_or(|before| {
            report.released > 0.0
                || report.wanted > 0.0
                || (report.demand - before.demand).abs() > before.demand * CHANGE
        })
    }

    async fn request(&mut self, reports: Vec<lease::Report>) {
        let request = lease::Request {
            node: self.options.name.clone(),
            incarnation: self.incarnation,
            reports,
        };
        let sent = Instant::now();
        self.sent = Some(sent);
        let reply = self.leader.ask(&request, Duration::ZERO).await;
        if let Ok(lease::Reply::Grants(grants)) = reply {
            let granted = gate::message::Message::Granted(grants, sent);
            let _ = self.gate.send(granted).await;
        }
        self.last = request.reports;
    }
}
