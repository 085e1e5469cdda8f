//! Which requests are quarantined when targets crash, and for how long.

use std::time::{Duration, Instant};

use masticarch_model::{incarnation, name};
use masticarch_policy::quarantine::{crash, decision, evidence, fingerprint, suspect, table};

const SECOND: Duration = Duration::from_secs(1);
const CRASHING: u128 = 1;
const HARMLESS: u128 = 2;

/// A table, with the number of crashes that it has seen.
struct Fixture {
    table: table::Table,
    crashes: u64,
    start: Instant,
}

impl Fixture {
    fn new() -> Self {
        Self {
            table: table::Table::new(30 * SECOND),
            crashes: 0,
            start: Instant::now(),
        }
    }

    /// The crash of a target that ran these requests, at this second.
    fn crash(&mut self, second: u32, running: &[u128]) {
        self.crashes += 1;
        let id = crash::Id {
            node: incarnation::Incarnation(1),
            sequence: self.crashes,
        };
        let suspects: Vec<_> = running.iter().map(|body| suspect(*body)).collect();
        let now = self.start + second * SECOND;
        self.table.attribute(&suspects, (id, "i-1"), 0.0, now);
    }

    fn decision(&self, second: u32, request: u128) -> decision::Decision {
        let now = self.start + second * SECOND;
        self.table.decision(fingerprint(request), now)
    }

    fn is_refused(&self, second: u32, request: u128) -> bool {
        matches!(
            self.decision(second, request),
            decision::Decision::Refuse(_)
        )
    }
}

fn service() -> name::Name {
    "guiones".into()
}

fn fingerprint(body: u128) -> fingerprint::Fingerprint {
    fingerprint::Fingerprint { head: 7, body }
}

fn suspect(body: u128) -> suspect::Suspect {
    suspect::Suspect {
        fingerprint: fingerprint(body),
        request: format!("request-{body}").into(),
        service: service(),
        team: None,
    }
}

/// A crash as another node tells of it.
fn remote_crash(sequence: u64, at: Instant, cleared: bool) -> evidence::Evidence {
    evidence::Evidence {
        crash: crash::Id {
            node: incarnation::Incarnation(2),
            sequence,
        },
        at,
        target: "i-2".into(),
        request: "request".into(),
        conclusive: true,
        cleared,
    }
}

// Guards against a request that crashes target after target.
#[test]
fn request_is_refused_after_three_crashes() {
    let mut fixture = Fixture::new();

    fixture.crash(0, &[CRASHING, HARMLESS]);
    let after_one = fixture.decision(0, CRASHING);
    fixture.crash(1, &[CRASHING, 3, 4]);
    let after_two = fixture.decision(1, CRASHING);
    fixture.crash(2, &[CRASHING, 5, 6]);
    let after_three = fixture.decision(2, CRASHING);

    assert_eq!(after_one, decision::Decision::Run);
    assert_eq!(after_two, decision::Decision::Isolate);
    assert_eq!(after_three, decision::Decision::Refuse(30 * SECOND));
}

// Guards against the refusal of requests that ran beside one that crashes its targets.
#[test]
fn crash_is_not_attributed_to_requests_beside_a_known_suspect() {
    let mut fixture = Fixture::new();
    fixture.crash(0, &[CRASHING]);

    for second in 1..5 {
        fixture.crash(second, &[CRASHING, HARMLESS]);
    }

    assert!(fixture.is_refused(5, CRASHING));
    assert_eq!(fixture.decision(5, HARMLESS), decision::Decision::Run);
}

// Guards against a quarantine of two requests of which one was only there by chance.
#[test]
fn two_equal_suspects_are_isolated_but_not_refused() {
    let mut fixture = Fixture::new();

    for second in 0..3 {
        fixture.crash(second, &[CRASHING, HARMLESS]);
    }

    assert_eq!(fixture.decision(3, CRASHING), decision::Decision::Isolate);
    assert_eq!(fixture.decision(3, HARMLESS), decision::Decision::Isolate);
    fixture.crash(4, &[CRASHING]);
    assert!(fixture.is_refused(5, CRASHING));
    assert!(!fixture.is_refused(5, HARMLESS));
}

// Guards against a popular request that is refused because it runs wherever a target ends.
#[test]
fn completed_run_clears_a_request() {
    let mut fixture = Fixture::new();

    for second in 0..9 {
        fixture.crash(second, &[HARMLESS]);
        let now = fixture.start + second * SECOND;
        fixture.table.complete(fingerprint(HARMLESS), now);
    }

    assert_eq!(fixture.decision(9, HARMLESS), decision::Decision::Run);
}

// Guards against a caller whose many different bad requests get another's long-running
// request refused.
#[test]
fn request_under_a_few_of_many_unexplained_crashes_is_not_refused() {
    let mut fixture = Fixture::new();

    for second in 0..30 {
        let bad = u128::from(100 + second);
        if second % 10 == 0 {
            fixture.crash(second, &[bad, HARMLESS]);
        } else {
            fixture.crash(second, &[bad]);
        }
    }

    assert!(!fixture.is_refused(30, HARMLESS));
}

// Guards against several crashing requests that hide each other.
#[test]
fn several_crashing_requests_are_all_refused() {
    let mut fixture = Fixture::new();
    let crashing: Vec<u128> = (10..18).collect();

    for round in 0..3 {
        for request in &crashing {
            fixture.crash(round, &[*request]);
        }
    }

    for request in crashing {
        assert!(fixture.is_refused(3, request), "{request}");
    }
}

// Guards against a target that is lost again and again because of one request, and against
// a request that is refused for good.
#[test]
fn quarantine_doubles_with_each_crash_up_to_a_bound() {
    let mut fixture = Fixture::new();
    fixture.crash(0, &[CRASHING]);
    fixture.crash(0, &[CRASHING]);
    let mut lengths = Vec::new();
    let mut second = 0;

    for _ in 0..8 {
        fixture.crash(second, &[CRASHING]);
        let decision::Decision::Refuse(length) = fixture.decision(second, CRASHING) else {
            panic!("not refused");
        };
        lengths.push(length.as_secs());
        second += u32::try_from(length.as_secs()).unwrap();
        assert_eq!(
            fixture.decision(second, CRASHING),
            decision::Decision::Isolate
        );
    }

    assert_eq!(lengths, [30, 60, 120, 240, 480, 600, 600, 600]);
}

// Guards against a mended target whose request stays refused.
#[test]
fn request_that_completes_after_its_quarantine_is_free() {
    let mut fixture = Fixture::new();
    for second in 0..3 {
        fixture.crash(second, &[CRASHING]);
    }
    let now = fixture.start + 40 * SECOND;

    let cleared = fixture.table.complete(fingerprint(CRASHING), now);

    assert!(cleared);
    assert_eq!(fixture.decision(40, CRASHING), decision::Decision::Run);
}

// Guards against a node that does not know what the others of its service know.
#[test]
fn merged_crashes_count_once_each() {
    let mut fixture = Fixture::new();
    let start = fixture.start;
    let crashes = [1, 2, 2, 1].map(|sequence| remote_crash(sequence, start, false));

    for crash in crashes {
        let crash = [crash].into_iter();
        fixture
            .table
            .merge(fingerprint(CRASHING), &service(), crash, 0.0, start);
    }
    let after_two = fixture.decision(0, CRASHING);
    let third = [remote_crash(3, start, false)].into_iter();
    let quarantined = fixture
        .table
        .merge(fingerprint(CRASHING), &service(), third, 0.0, start);

    assert_eq!(after_two, decision::Decision::Isolate);
    assert!(quarantined);
    assert!(fixture.is_refused(0, CRASHING));
}

// Guards against a late report that brings back what a completed run has cleared.
#[test]
fn late_report_does_not_undo_a_completed_run() {
    let mut fixture = Fixture::new();
    let start = fixture.start;
    let merge = |table: &mut table::Table, cleared: bool| {
        let crashes = (1..4).map(|sequence| remote_crash(sequence, start, cleared));
        table.merge(fingerprint(CRASHING), &service(), crashes, 0.0, start)
    };

    merge(&mut fixture.table, true);
    merge(&mut fixture.table, false);

    assert_eq!(fixture.decision(0, CRASHING), decision::Decision::Run);
}

// Guards against a caller that fills the memory of nodes with many different bad requests,
// or makes them forget a known one.
#[test]
fn many_different_bad_requests_leave_the_table_bounded() {
    let mut fixture = Fixture::new();
    for second in 0..3 {
        fixture.crash(second, &[CRASHING]);
    }

    for request in 0..10_000 {
        fixture.crash(3, &[1000 + request]);
    }

    assert!(fixture.table.iter().count() <= 4096);
    assert!(fixture.is_refused(4, CRASHING));
}

// Guards against records that are kept for good.
#[test]
fn records_expire() {
    let mut fixture = Fixture::new();
    for second in 0..3 {
        fixture.crash(second, &[CRASHING]);
    }

    fixture.table.expire(fixture.start + 600 * SECOND);
    let kept = fixture.table.iter().count();
    fixture.table.expire(fixture.start + 700 * SECOND);
    let expired = fixture.table.iter().count();

    assert_eq!((kept, expired), (1, 0));
}
