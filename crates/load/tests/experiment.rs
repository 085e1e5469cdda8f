//! Experiment files are valid, and measures detect outages and violations.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use masticarch_load::experiment::{self, measure, trial};
use masticarch_load::generator;
use masticarch_load::generator::{plan, record};
use masticarch_load::standin::record::Executions;

fn files() -> Vec<PathBuf> {
    let directory = concat!(env!("CARGO_MANIFEST_DIR"), "/../../experiments");
    let entries = std::fs::read_dir(directory).unwrap();
    let mut files: Vec<_> = entries.map(|entry| entry.unwrap().path()).collect();
    files.sort();
    files
}

fn read(path: &Path) -> experiment::Plan {
    let text = std::fs::read_to_string(path).unwrap();
    let path = path.display();
    serde_saphyr::from_str(&text).unwrap_or_else(|failure| panic!("{path}: {failure}"))
}

/// A run with one request per 10 ms for 10 s. Requests that are due less than
/// `broken_ms` milliseconds after 4 s are refused.
fn outage(broken_ms: u64) -> trial::Trial {
    let phase = plan::Phase {
        duration_ms: 10_000,
        factor: 1.0,
    };
    let plan = generator::Plan::builder()
        .entries(vec![])
        .seed(1)
        .phases(vec![phase])
        .teams(vec![])
        .build();
    let records = (0..1_000).map(|sequence| {
        let at = Duration::from_millis(sequence * 10);
        let broken = (4_000..4_000 + broken_ms).contains(&(sequence * 10));
        request(sequence, at, if broken { 503 } else { 200 })
    });
    trial::Trial {
        report: generator::Report::new(plan, records.collect()),
        executions: BTreeMap::new(),
        node_seconds: 1.0,
    }
}

fn request(sequence: u64, at: Duration, status: u16) -> record::Record {
    record::Record {
        id: record::Id { team: 0, sequence },
        attempt: 0,
        last: true,
        entry: 0,
        intended: at,
        sent: at,
        ended: at,
        outcome: record::Outcome::Answered {
            status,
            code: (status != 200).then_some(1006),
            ran: (status != 200).then_some(record::Ran::No),
        },
    }
}

fn value(measure: &measure::Measure, trial: &trial::Trial) -> f64 {
    measure.value(trial, trial)
}

// Guards against experiment files that the runner cannot read, against references
// to nodes or teams that do not exist, and against a configuration that control
// processes would refuse.
#[test]
fn experiment_files_are_whole() {
    for path in files() {
        let plan = read(&path);
        let nodes = plan.spec(true).nodes.len();

        for client in &plan.clients {
            let known = |name: &String| plan.objects.teams.iter().any(|team| team.name == *name);
            assert!(client.team.as_ref().is_none_or(known), "{path:?}");
            assert!(client.load.entries.iter().all(|entry| *entry < nodes));
        }
        let setup = plan.objects.build(plan.seed, true);
        let findings = masticarch_model::check::check(&setup.objects.configuration);
        assert!(findings.is_empty(), "{path:?}: {findings:?}");
    }
}

// Guards against an experiment that takes longer than a minute by default. The time
// includes both runs, with 5 s each to start the fleet.
#[test]
fn experiments_fit_into_a_minute() {
    for path in files() {
        let plan = read(&path);

        let load: u64 = plan.phases.iter().map(|phase| phase.duration_ms).sum();

        assert!(2 * (load + 5_000) <= 60_000, "{path:?}");
    }
}

// Guards against a recovery time that does not follow the length of the outage.
#[test]
fn recovery_is_the_length_of_the_outage() {
    let measures = [
        measure::Measure::Recovery {
            normal_until_ms: 4_000,
            from_ms: 4_000,
            share: 0.95,
        },
        measure::Measure::SuccessRecovery {
            from_ms: 4_000,
            share: 0.99,
        },
    ];

    for measure in measures {
        let none = value(&measure, &outage(0));
        let two = value(&measure, &outage(2_000));
        let all = value(&measure, &outage(6_000));

        assert!(none.abs() < 1e-9, "{none}");
        assert!((1.9..=2.0).contains(&two), "{two}");
        assert!(all.is_infinite(), "{all}");
    }
}

// Guards against a measure that reports a withdrawn key as refused at once, although
// requests with it are still served, or because none was served before.
#[test]
fn last_served_request_counts_from_the_moment() {
    let from = |from_ms| measure::Measure::LastServed { client: 0, from_ms };

    let never = value(&from(0), &outage(6_000));
    let later = value(&from(4_000), &outage(0));

    assert!(never.is_infinite(), "{never}");
    assert!(later > 3.0, "{later}");
}

// Guards against extra executions that are not summed over services, so that each
// service's part stays below its own retry budget and the total goes unnoticed.
#[test]
fn extra_executions_are_summed_over_services() {
    let mut trial = outage(0);
    for service in ["guiones", "parrilla"] {
        let mut executions = Executions::default();
        executions.by_request_id.insert("1-0-0".into(), 3);
        trial.executions.insert(service.into(), executions);
    }
    let normal = BTreeMap::from([("guiones".to_owned(), 1), ("parrilla".to_owned(), 2)]);

    let extra = value(&measure::Measure::ExtraExecutions { normal }, &trial);

    assert!((extra - 3.0).abs() < 1e-9, "{extra}");
}

// Guards against a measure that misses a request that ran although it was answered
// with "not run".
#[test]
fn refused_request_that_ran_is_found() {
    let mut trial = outage(1_000);
    let id = record::request_id(
        1,
        record::Id {
            team: 0,
            sequence: 400,
        },
    );
    let mut executions = Executions::default();
    executions.by_request_id.insert(id, 1);
    trial.executions.insert("guiones".into(), executions);

    let untrue = value(&measure::Measure::UntrueNotRun, &trial);

    assert!((untrue - 1.0).abs() < 1e-9, "{untrue}");
}
