//! The generator sends the requests of its plan and records their outcomes.

use std::time::Duration;

use masticarch_kernel::runtime;
use masticarch_load::generator::{arrivals, plan, rate_limit, record, team};
use masticarch_load::standin::{behaviour, distribution};
use masticarch_load::{generator, ports, standin};

const SEED: u64 = 7;

fn team(rate: f64) -> generator::Team {
    generator::Team::builder()
        .name("arica")
        .path("/guiones")
        .rate(rate)
        .request_id(true)
        .build()
}

fn phases() -> Vec<plan::Phase> {
    let phase = |factor| plan::Phase {
        duration_ms: 1_000,
        factor,
    };
    vec![phase(1.0), phase(0.0), phase(3.0)]
}

fn settings() -> standin::Settings {
    let address = || ports::allocate(ports::loopback(3)).unwrap();
    standin::Settings::builder()
        .service("guiones")
        .address(address())
        .control(address())
        .service_ms(distribution::Distribution::Fixed(5.0))
        .build()
}

fn plan(settings: &standin::Settings, team: generator::Team) -> generator::Plan {
    generator::Plan::builder()
        .entries(vec![settings.address])
        .seed(SEED)
        .phases(phases())
        .teams(vec![team])
        .build()
}

fn served(sent_ms: u64, ended_ms: u64) -> record::Record {
    record::Record {
        id: record::Id {
            team: 0,
            sequence: sent_ms,
        },
        attempt: 0,
        last: true,
        entry: 0,
        intended: Duration::from_millis(sent_ms),
        sent: Duration::from_millis(sent_ms),
        ended: Duration::from_millis(ended_ms),
        outcome: record::Outcome::Answered {
            status: 200,
            code: None,
            ran: None,
        },
    }
}

// Guards against arrivals that don't have the rate of their phase or differ between
// runs with the same seed.
#[test]
fn arrivals_follow_phases_and_seed() {
    let draw =
        || -> Vec<Duration> { arrivals::Arrivals::new(&phases(), &team(1000.0), SEED).collect() };

    let times = draw();

    let within = |from: u64, to: u64| {
        let span = Duration::from_millis(from)..Duration::from_millis(to);
        times.iter().filter(|time| span.contains(time)).count()
    };
    assert_eq!(times, draw());
    assert!((850..1150).contains(&within(0, 1_000)));
    assert_eq!(within(1_000, 2_000), 0);
    assert!((2_750..3_250).contains(&within(2_000, 3_000)));
}

// Guards against requests that are lost, sent twice or not recorded, and against
// latencies below the service time.
#[test]
fn every_request_is_sent_once_and_recorded() {
    let (report, executions) = runtime::run(async {
        let settings = settings();
        let plan = plan(&settings, team(200.0));
        let standin = standin::Handle::start(settings).unwrap();

        let report = generator::run(plan).await.unwrap();
        (report, standin.executions().await.unwrap())
    })
    .unwrap();

    let requests = report.requests().count();
    assert_eq!(executions.total, requests as u64);
    assert_eq!(executions.by_request_id.len(), requests);
    assert!(report.records.iter().all(record::Record::is_served));
    let shortest = report.records.iter().map(record::Record::latency).min();
    assert!(shortest >= Some(Duration::from_millis(5)), "{shortest:?}");
    assert_eq!(report.latencies().len(), requests as u64);
    assert!(report.latencies().min() >= 5_000);
}

// Guards against resends that are not sent, or that are counted as new requests.
#[test]
fn failed_requests_are_resent_with_the_same_id() {
    let mut aggressive = team(50.0);
    aggressive.resend = team::Resend {
        attempts: 2,
        backoff_ms: 10,
        elsewhere: false,
    };
    let (report, executions) = runtime::run(async {
        let mut settings = settings();
        settings.behaviour = behaviour::Behaviour {
            failure_share: 1.0,
            ..behaviour::Behaviour::default()
        };
        let plan = plan(&settings, aggressive);
        let standin = standin::Handle::start(settings).unwrap();

        let report = generator::run(plan).await.unwrap();
        (report, standin.executions().await.unwrap())
    })
    .unwrap();

    let requests = report.requests().count();
    assert_eq!(report.records.len(), 3 * requests);
    assert!(executions.by_request_id.values().all(|count| *count == 3));
}

// Guards against a check that misses a request above rate and burst.
#[test]
fn window_check_finds_one_call_too_many() {
    let mut records: Vec<_> = (0..10).map(|_| served(0, 0)).collect();
    let allowed = rate_limit::window_excess(&records, 10.0, 10.0);
    records.push(served(50, 50));

    let excess = rate_limit::window_excess(&records, 10.0, 10.0);

    assert!(allowed <= 0.0, "{allowed}");
    assert!((excess - 0.5).abs() < 1e-9, "{excess}");
}

// Guards against a check that counts requests in a window although they were sent
// before it, so that slow answers appear as an excess.
#[test]
fn window_check_ignores_calls_that_began_before_the_window() {
    let records: Vec<_> = (0..10).map(|_| served(0, 1_000)).collect();

    let excess = rate_limit::window_excess(&records, 9.0, 1.0);

    assert!(excess <= 0.0, "{excess}");
}
