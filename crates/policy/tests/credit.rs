//! Retry credit as a bound on the extra executions in a call tree.

use std::time::{Duration, Instant};

use fastrand::Rng;
use masticarch_model::{attempt, incarnation, map};
use masticarch_policy::credit::{account, allowance, balance, outcome};
use masticarch_policy::ledger::table;

const DEPTH: usize = 10;
/// Attempts of a caller, including its resends.
const ATTEMPTS: u64 = 4;

/// A call tree whose calls fail at random, with the number of executions by
/// position in the tree.
struct Tree {
    rng: Rng,
    executions: map::Map<String, u32>,
    fan_out: [usize; DEPTH],
}

fn failing_tree(seed: u64) -> Tree {
    let mut fan_out = [1; DEPTH];
    for hop in [1, 4, 7] {
        fan_out[hop] = 2;
    }
    Tree {
        rng: Rng::with_seed(seed),
        executions: map::Map::default(),
        fan_out,
    }
}

fn allowance(credit: u8, repeat: bool) -> allowance::Allowance {
    allowance::Allowance { credit, repeat }
}

impl Tree {
    fn chance(&mut self, percent: u8) -> bool {
        self.rng.u8(..100) < percent
    }

    /// A request at an entry node, with its retries.
    fn request(
        &mut self,
        position: &str,
        depth: usize,
        allowance: allowance::Allowance,
    ) -> (bool, outcome::Outcome) {
        let mut balance = balance::Balance::new(allowance);
        loop {
            let lent = balance.lend();
            let (succeeded, outcome) = self.attempt(position, depth, lent);
            balance.take_back(outcome);
            if succeeded || !balance.retry(outcome.executions) {
                return (succeeded, balance.close());
            }
        }
    }

    /// One attempt, with the result that its entry node gets.
    fn attempt(
        &mut self,
        position: &str,
        depth: usize,
        allowance: allowance::Allowance,
    ) -> (bool, outcome::Outcome) {
        let refused = outcome::Outcome {
            credit: allowance.credit,
            executions: Some(0),
        };
        if self.chance(10) {
            return (false, refused);
        }
        let Some(mut account) = account::Account::open(allowance) else {
            return (false, refused);
        };
        *self.executions.entry(position.to_owned()).or_default() += 1;
        let succeeded = self.run(position, depth, &mut account);
        if self.chance(10) {
            let lost = outcome::Outcome {
                credit: 0,
                executions: None,
            };
            return (false, lost);
        }
        (succeeded, account.close())
    }

    /// One execution with its sub-calls; returns whether it succeeded.
    fn run(&mut self, position: &str, depth: usize, account: &mut account::Account) -> bool {
        let sub_calls = if depth + 1 < DEPTH {
            self.fan_out[depth]
        } else {
            0
        };
        for index in 0..sub_calls {
            let lent = account.lend();
            let below = format!("{position}/{index}");
            let (succeeded, outcome) = self.request(&below, depth + 1, lent);
            if self.chance(95) {
                account.take_back(outcome);
            }
            if !succeeded && self.chance(80) {
                return false;
            }
        }
        self.chance(50)
    }

    fn extra(&self) -> u32 {
        self.executions.values().map(|count| count - 1).sum()
    }
}

fn attempt(sequence: u64) -> attempt::Attempt {
    attempt::Attempt {
        node: incarnation::Incarnation(1),
        sequence,
    }
}

// Guards against retries whose number multiplies with depth, fan-out and the
// caller's resends.
#[test]
fn extra_executions_stay_within_the_credit() {
    let mut most = 0;
    for seed in 0..20_000 {
        let credit = u8::try_from(seed % 11).unwrap();
        let mut tree = failing_tree(seed);
        let mut table = table::Table::default();
        let now = Instant::now();
        let deadline = now + Duration::from_secs(2);
        for sequence in 0..ATTEMPTS {
            let attempt = attempt(sequence);
            let allowed = table.begin("a".into(), attempt, credit, deadline, now);
            let (succeeded, left) = tree.request("", 0, allowed.unwrap());
            table.end("a", attempt, left, now);
            if succeeded {
                break;
            }
        }

        assert!(tree.extra() <= u32::from(credit), "seed {seed}");
        most = most.max(tree.extra());
    }
    assert!(most >= 3, "the tree must use its credit: {most}");
}

// Guards against an outcome that returns more credit than was lent.
#[test]
fn more_than_was_lent_is_not_taken_back() {
    let mut account = account::Account::open(allowance(3, false)).unwrap();
    account.lend();

    account.take_back(outcome::Outcome {
        credit: 200,
        executions: Some(1),
    });

    assert_eq!(account.close().credit, 3);
}

// Guards against an execution under the repeat mark without credit.
#[test]
fn repeat_costs_one_credit_or_does_not_run() {
    let with = account::Account::open(allowance(1, true));
    let without = account::Account::open(allowance(0, true));

    assert_eq!(with.map(|account| account.close().credit), Some(0));
    assert_eq!(without, None);
}

// Guards against a single credit that never reaches a call deep in the tree.
#[test]
fn half_is_rounded_up() {
    let lent = account::Account::open(allowance(1, false)).unwrap().lend();

    assert_eq!(lent, allowance(1, false));
}

// Guards against a known number of executions while a sub-call has not ended.
#[test]
fn executions_are_unknown_while_a_sub_call_is_out() {
    let mut account = account::Account::open(allowance(2, false)).unwrap();
    account.lend();

    assert_eq!(account.close().executions, None);
}

// Guards against a retry whose repeated sub-calls are not charged.
#[test]
fn retry_after_sub_calls_is_a_repeat() {
    let mut balance = balance::Balance::new(allowance(3, false));
    let first = balance.lend();
    balance.take_back(outcome::Outcome {
        credit: first.credit,
        executions: Some(2),
    });

    let allowed = balance.retry(Some(2));

    assert!(allowed);
    assert!(balance.lend().repeat);
}
