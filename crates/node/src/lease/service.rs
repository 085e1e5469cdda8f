//! The service that renews the node's leases of shares of team limits.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future;
use masticarch_kernel::{address, stop};
use masticarch_model::incarnation;
use masticarch_wire::message::lease;

use crate::{contacts, gate, leader, options};

/// Shortest time between two requests. The gate does not report changed demand of a
/// team within 250 ms of its last report; a team that is new at the node must be
/// reported well before its first requests have waited for 200 ms.
const MIN_REQUEST_INTERVAL: Duration = Duration::from_millis(50);
/// Longest time between two requests: after it, one is sent without reports too.
const MAX_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

struct Renewer {
    leader: leader::Leader,
    contacts: contacts::Contacts,
    options: Rc<options::Options>,
    incarnation: incarnation::Incarnation,
    gate: address::Address<gate::message::Message>,
    last_sent: Option<Instant>,
    /// The leader that the last request was answered by.
    reported_to: Option<SocketAddr>,
}

/// Runs the service until asked to stop.
pub async fn run(
    options: Rc<options::Options>,
    contacts: contacts::Contacts,
    incarnation: incarnation::Incarnation,
    gate: address::Address<gate::message::Message>,
    stop: stop::Stop,
) {
    let mut renewer = Renewer {
        leader: leader::Leader::new(
            contacts.clone(),
            options.credential.clone(),
            leader::CALL_TIMEOUT,
        ),
        options,
        incarnation,
        gate,
        last_sent: None,
        contacts,
        reported_to: None,
    };
    let renewing = std::pin::pin!(renewer.renew());
    let stopped = std::pin::pin!(stop.wait());
    future::select(renewing, stopped).await;
}

impl Renewer {
    /// Keeps a request for reports pending at the gate, so that the first request of a
    /// team does not wait for the next poll.
    async fn renew(&mut self) {
        while let Ok(reports) = self.gate.ask(gate::message::Message::Reports).await {
            let asked = Instant::now();
            if self.is_due(&reports) {
                self.request(reports).await;
            }
            monoio::time::sleep_until((asked + MIN_REQUEST_INTERVAL).into()).await;
        }
    }

    /// Whether to send a request. A node without shares sends one as well, so that a new
    /// leader knows that it need not wait for reports of this node.
    fn is_due(&self, reports: &[lease::Report]) -> bool {
        let recent = self
            .last_sent
            .is_some_and(|sent| sent.elapsed() < MAX_REQUEST_INTERVAL);
        !recent || !reports.is_empty() || self.contacts.leader() != self.reported_to
    }

    async fn request(&mut self, reports: Vec<lease::Report>) {
        let request = lease::Request {
            node: self.options.name.clone(),
            incarnation: self.incarnation,
            reports,
        };
        let sent = Instant::now();
        self.last_sent = Some(sent);
        let reply = self.leader.ask(&request, Duration::ZERO).await;
        let message = match reply {
            Ok(lease::Reply::Grants(grants)) => {
                self.reported_to = self.contacts.leader();
                gate::message::Message::Grants(grants, sent)
            }
            _ => gate::message::Message::ReportsLost,
        };
        let _ = self.gate.send(message).await;
    }
}
