//! Deduplication of a caller's resends.

use std::time::{Duration, Instant};

use masticarch_model::{attempt, incarnation};
use masticarch_policy::credit::{allowance, outcome};
use masticarch_policy::ledger::{refusal, table};

const SECOND: Duration = Duration::from_secs(1);

fn attempt(sequence: u64) -> attempt::Attempt {
    attempt::Attempt {
        node: incarnation::Incarnation(1),
        sequence,
    }
}

fn begin(
    table: &mut table::Table,
    sequence: u64,
    now: Instant,
) -> Result<allowance::Allowance, refusal::Refusal> {
    table.begin("id".into(), attempt(sequence), 3, now + SECOND, now)
}

fn outcome(credit: u8, executions: Option<u32>) -> outcome::Outcome {
    outcome::Outcome { credit, executions }
}

fn allowance(credit: u8, repeat: bool) -> allowance::Allowance {
    allowance::Allowance { credit, repeat }
}

// Guards against two executions of one request at the same time.
#[test]
fn resend_is_refused_while_the_first_attempt_runs() {
    let now = Instant::now();
    let mut table = table::Table::default();
    begin(&mut table, 1, now).unwrap();

    let resend = begin(&mut table, 2, now + SECOND / 2);

    assert_eq!(resend, Err(refusal::Refusal::StillRunning));
}

// Guards against a resend that starts with the whole credit again.
#[test]
fn resend_gets_what_is_left_with_the_repeat_mark() {
    let now = Instant::now();
    let mut table = table::Table::default();
    begin(&mut table, 1, now).unwrap();
    table.end("id", attempt(1), outcome(2, Some(4)), now);

    let resend = begin(&mut table, 2, now);

    assert_eq!(resend, Ok(allowance(2, true)));
}

// Guards against a resend that is charged credit although nothing ran before.
#[test]
fn resend_after_a_refusal_is_no_repeat() {
    let now = Instant::now();
    let mut table = table::Table::default();
    begin(&mut table, 1, now).unwrap();
    table.end("id", attempt(1), outcome(3, Some(0)), now);

    let resend = begin(&mut table, 2, now);

    assert_eq!(resend, Ok(allowance(3, false)));
}

// Guards against credit that is returned although the entry node failed before it
// reported the end of the attempt.
#[test]
fn attempt_without_an_end_leaves_no_credit() {
    let now = Instant::now();
    let mut table = table::Table::default();
    begin(&mut table, 1, now).unwrap();

    let resend = begin(&mut table, 2, now + SECOND);

    assert_eq!(resend, Ok(allowance(0, true)));
}

// Guards against a late report of an older attempt's end that changes the state of
// a newer attempt.
#[test]
fn end_of_an_older_attempt_has_no_effect() {
    let now = Instant::now();
    let mut table = table::Table::default();
    begin(&mut table, 1, now).unwrap();
    begin(&mut table, 2, now + SECOND).unwrap();

    table.end("id", attempt(1), outcome(3, Some(0)), now + SECOND);

    let resend = begin(&mut table, 3, now + SECOND);
    assert_eq!(resend, Err(refusal::Refusal::StillRunning));
}

// Guards against an attempt that counts as its own resend when it is sent again
// after the reply was lost.
#[test]
fn same_attempt_gets_the_same_result() {
    let now = Instant::now();
    let mut table = table::Table::default();

    let results = [begin(&mut table, 1, now), begin(&mut table, 1, now)];

    assert_eq!(results, [Ok(allowance(3, false)), Ok(allowance(3, false))]);
}

// Guards against ids that are removed too early, and against ids that are never
// removed.
#[test]
fn ids_are_kept_for_a_minute_after_the_last_end() {
    let now = Instant::now();
    let mut table = table::Table::default();
    begin(&mut table, 1, now).unwrap();
    table.end("id", attempt(1), outcome(2, Some(1)), now);
    let resent = now + 50 * SECOND;
    begin(&mut table, 2, resent).unwrap();
    table.end("id", attempt(2), outcome(1, Some(1)), resent);

    let kept = begin(&mut table, 3, resent + 59 * SECOND);
    table.end("id", attempt(3), outcome(0, Some(1)), resent + 59 * SECOND);
    let fresh = begin(&mut table, 4, resent + 120 * SECOND);

    assert_eq!(kept, Ok(allowance(1, true)));
    assert_eq!(fresh, Ok(allowance(3, false)));
}
