//! Recognition of a caller's resends.

use std::time::{Duration, Instant};

use masticarch_model::{attempt, incarnation};
use masticarch_policy::credit::{loan, outcome};
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
) -> Result<loan::Loan, refusal::Refusal> {
    table.begin("id".into(), attempt(sequence), 3, now + SECOND, now)
}

fn outcome(credit: u8, executions: Option<u32>) -> outcome::Outcome {
    outcome::Outcome { credit, executions }
}

fn loan(credit: u8, repeat: bool) -> loan::Loan {
    loan::Loan { credit, repeat }
}

// Guards against two runs of one request at the same time.
#[test]
fn resend_is_refused_while_the_first_attempt_runs() {
    let now = Instant::now();
    let mut table = table::Table::default();
    begin(&mut table, 1, now).unwrap();

    let resend = begin(&mut table, 2, now + SECOND / 2);

    assert_eq!(resend, Err(refusal::Refusal::StillRunning));
}

// Guards against a resend that starts with fresh credit.
#[test]
fn resend_gets_what_is_left_with_the_repeat_mark() {
    let now = Instant::now();
    let mut table = table::Table::default();
    begin(&mut table, 1, now).unwrap();
    table.end("id", attempt(1), outcome(2, Some(4)), now);

    let resend = begin(&mut table, 2, now);

    assert_eq!(resend, Ok(loan(2, true)));
}

// Guards against a resend that pays although nothing ran before.
#[test]
fn resend_after_a_refusal_is_no_repeat() {
    let now = Instant::now();
    let mut table = table::Table::default();
    begin(&mut table, 1, now).unwrap();
    table.end("id", attempt(1), outcome(3, Some(0)), now);

    let resend = begin(&mut table, 2, now);

    assert_eq!(resend, Ok(loan(3, false)));
}

// Guards against credit that comes back when the entry node was lost.
#[test]
fn attempt_without_an_end_leaves_no_credit() {
    let now = Instant::now();
    let mut table = table::Table::default();
    begin(&mut table, 1, now).unwrap();

    let resend = begin(&mut table, 2, now + SECOND);

    assert_eq!(resend, Ok(loan(0, true)));
}

// Guards against an end that arrives late and overwrites a newer attempt.
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

// Guards against a second entry when the reply to the first was lost.
#[test]
fn same_attempt_gets_the_same_result() {
    let now = Instant::now();
    let mut table = table::Table::default();

    let results = [begin(&mut table, 1, now), begin(&mut table, 1, now)];

    assert_eq!(results, [Ok(loan(3, false)), Ok(loan(3, false))]);
}

// Guards against ids forgotten too early, and against a table that only grows.
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

    assert_eq!(kept, Ok(loan(1, true)));
    assert_eq!(fresh, Ok(loan(3, false)));
}
