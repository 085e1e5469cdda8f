//! Renewal of leases of shares of team limits.

mod fixture;

use std::time::Duration;

use masticarch_kernel::{mailbox, runtime, stop};
use masticarch_model::incarnation;
use masticarch_node::contacts;
use masticarch_node::gate::message;
use masticarch_node::lease::service;

/// Longest time until the gate is asked for reports, far below the 200 ms for which a
/// request waits for its share.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(100);

// Guards against first requests of a team that must wait for a tick of the lease
// service before the control leader learns of the team.
#[test]
fn reports_are_asked_for_without_waiting_for_a_tick() {
    let asked = runtime::run(async {
        let (gate, mut mailbox) = mailbox::Mailbox::new(8);
        let (_stop, stopped) = stop::Stop::new();
        let incarnation = incarnation::Incarnation(1);
        let options = fixture::options(true);
        let contacts = contacts::Contacts::new(&options.control);
        monoio::spawn(service::run(options, contacts, incarnation, gate, stopped));
        monoio::time::timeout(MAX_REPORT_DELAY, mailbox.receive()).await
    });

    let asked = asked.unwrap();
    assert!(
        matches!(asked, Ok(Some(message::Message::Reports(_)))),
        "{asked:?}"
    );
}
