//! Calls to the control leader.

mod common;
mod fixture;

use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

use masticarch_kernel::runtime;
use masticarch_model::incarnation;
use masticarch_node::{contacts, leader};
use masticarch_wire::message::lease;

use common::fleet;

/// Time within which a node must give up a control process that does not answer, so
/// that it reaches a new leader within two seconds after that leader has acknowledged a
/// change.
const MAX_FAILOVER_TIME: Duration = Duration::from_millis(600);

// Guards against a node that waits for seconds for a control process whose machine has
// lost power, while another one leads and acknowledges changes.
#[test]
fn silent_control_process_is_left_soon() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let options = fixture::options(true);
    let contacts = contacts::Contacts::new(&[silent.local_addr().unwrap()]);
    let request = lease::Request {
        node: "node-0".into(),
        incarnation: incarnation::Incarnation(1),
        reports: Vec::new(),
    };

    let (outcome, waited) = runtime::run(async {
        let credential = options.credential.clone();
        let mut leader = leader::Leader::new(contacts, credential, leader::CALL_TIMEOUT);
        let begun = Instant::now();
        let outcome = leader.ask(&request, Duration::ZERO).await;
        (outcome.map(drop), begun.elapsed())
    })
    .unwrap();

    assert!(outcome.is_err());
    assert!(waited < MAX_FAILOVER_TIME, "{waited:?}");
}

// Guards against a node that never returns to the addresses of its settings, or
// does not learn of new members.
#[test]
fn members_come_before_settings_until_settings_change() {
    let address = |port: u16| ([127, 0, 0, 1], port).into();
    let contacts = contacts::Contacts::new(&[address(1), address(2)]);

    contacts.update_members(&[address(2), address(3)]);
    let learnt: Vec<_> = (0..3).filter_map(|index| contacts.get(index)).collect();
    contacts.reload(&[address(4)]);
    let reloaded = contacts.get(0);

    assert_eq!(learnt, [address(2), address(3), address(1)]);
    assert_eq!(reloaded, Some(address(4)));
}

// Guards against each task of a node that finds a new leader anew, by timeouts.
#[test]
fn call_follows_the_leader_that_another_call_has_found() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let live = fleet::control();
    fleet::wait_for(|| TcpStream::connect(live).is_ok());
    let contacts = contacts::Contacts::new(&[silent.local_addr().unwrap(), live]);
    let request = lease::Request {
        node: "node-0".into(),
        incarnation: incarnation::Incarnation(1),
        reports: Vec::new(),
    };

    contacts.record_leader(live);
    let outcome = runtime::run(async {
        let credential = fixture::options(true).credential.clone();
        let mut leader = leader::Leader::new(contacts.clone(), credential, leader::CALL_TIMEOUT);
        leader.ask(&request, Duration::ZERO).await.map(drop)
    })
    .unwrap();

    assert!(outcome.is_ok(), "{outcome:?}");
    assert_eq!(contacts.leader(), Some(live));
}
