//! Silence, flapping and retention, with explicit times.

use std::time::{Duration, Instant};

use masticarch_control::liveness::{contacts, message};
use masticarch_control::registry::retention;
use masticarch_model::{incarnation, name, version};

const INCARNATION: incarnation::Incarnation = incarnation::Incarnation(7);
/// Time between checks for silent nodes.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

fn nodes() -> Vec<(name::Name, incarnation::Incarnation)> {
    vec![("alertas-1".into(), INCARNATION)]
}

fn contact() -> message::Contact {
    message::Contact {
        name: "alertas-1".into(),
        incarnation: INCARNATION,
        held: version::Version(1),
        loads: Vec::new(),
    }
}

/// Checks the contacts at regular times until the node is silent, for 10 s at most,
/// and returns the time that it took.
fn time_until_silent(contacts: &mut contacts::Contacts, from: Instant) -> Duration {
    let checks = (1..40).map(|check| CHECK_PERIOD * check);
    let mut checks = checks.skip_while(|time| contacts.silent(from + *time, nodes()).is_empty());
    checks
        .next()
        .expect("a node without contact becomes silent")
}

// Guards against nodes that are removed too early or too late.
#[test]
fn node_is_silent_three_seconds_after_its_last_contact() {
    let start = Instant::now();
    let mut contacts = contacts::Contacts::new(start);
    let heard = start + Duration::from_millis(100);
    contacts.touch(heard, contact());

    let time = time_until_silent(&mut contacts, start);

    assert_eq!(time, Duration::from_millis(3_250));
}

// Guards against a new leader that removes every node with which it has had no
// contact yet.
#[test]
fn new_leader_allows_each_node_three_seconds() {
    let start = Instant::now();
    let mut contacts = contacts::Contacts::new(start);
    let elected = start + Duration::from_mins(1);
    contacts.restart(elected);

    let time = time_until_silent(&mut contacts, elected);

    assert_eq!(time, contacts::EXPIRY);
}

// Guards against a leader that was suspended and removes the whole fleet when it
// resumes, before it has read the waiting contacts.
#[test]
fn leader_that_was_frozen_allows_three_seconds_again() {
    let start = Instant::now();
    let mut contacts = contacts::Contacts::new(start);
    contacts.touch(start, contact());
    assert!(contacts.silent(start + CHECK_PERIOD, nodes()).is_empty());
    let thawed = start + Duration::from_secs(20);

    let silent = contacts.silent(thawed, nodes());
    let time = time_until_silent(&mut contacts, thawed);

    assert!(silent.is_empty());
    assert_eq!(time, contacts::EXPIRY);
}

// Guards against a node that restarts again and again and changes the fleet with
// each incarnation.
#[test]
fn announcements_of_a_flapping_node_are_held_back() {
    let start = Instant::now();
    let mut contacts = contacts::Contacts::new(start);
    let name = name::Name::new("alertas-1");
    let damping = |contacts: &contacts::Contacts, now| contacts.damping(now, &name);

    contacts.join(start, name.clone());
    assert_eq!(damping(&contacts, start), Duration::ZERO);
    let early = start + Duration::from_millis(500);
    contacts.join(early, name.clone());
    assert_eq!(damping(&contacts, early), Duration::from_millis(1_500));
    let late = start + Duration::from_secs(30);
    contacts.join(late, name.clone());
    assert_eq!(damping(&contacts, late), Duration::ZERO);
}

// Guards against a node whose repeated joins change the fleet although its
// announcements are delayed.
#[test]
fn next_join_of_a_node_is_held_back_for_two_seconds() {
    let start = Instant::now();
    let mut contacts = contacts::Contacts::new(start);
    let name = name::Name::new("alertas-1");
    assert_eq!(contacts.join_delay(start, &name), Duration::ZERO);

    contacts.join(start, name.clone());

    let early = start + Duration::from_millis(500);
    let late = start + Duration::from_secs(2);
    let delay = contacts.join_delay(early, &name);
    assert_eq!(delay, Duration::from_millis(1_500));
    assert_eq!(contacts.join_delay(late, &name), Duration::ZERO);
}

// Guards against settled claims that are forgotten before ten minutes have passed,
// so that a late resend would be executed again.
#[test]
fn retention_is_over_after_ten_minutes() {
    let start = Instant::now();
    let mut retention = retention::Retention::default();
    let sampled: Vec<u64> = (0..=62)
        .map(|index| {
            let time = start + Duration::from_secs(10) * u32::try_from(index).expect("small");
            retention.sample(time, version::Version(index + 1)).0
        })
        .collect();

    assert!(sampled[..60].iter().all(|over| *over == 0));
    assert_eq!(sampled[60..], [1, 2, 3]);
}
