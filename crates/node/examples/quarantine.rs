//! Measures what the quarantine costs a request and a crash. Prints a line with one JSON
//! object for each measurement.

use std::hint::black_box;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Method, header};
use masticarch_model::incarnation;
use masticarch_node::admission::entry;
use masticarch_node::quarantine::{content, convert};
use masticarch_node::target::job;
use masticarch_policy::quarantine::{crash, table};
use masticarch_wire::http::request;
use masticarch_wire::message::{self, quarantine};

/// Requests of each measurement.
const REQUESTS: u32 = 10_000;
/// Requests that run at a target when it crashes.
const SUSPECTS: u32 = 72;

fn job(index: u32, body_bytes: usize) -> job::Job {
    let uri = format!("/guiones/{index}?version=2").parse();
    let body = Bytes::from(vec![b'.'; body_bytes]);
    let mut request = request::Request::new(Method::POST, uri.expect("a valid path"), body);
    let host = HeaderValue::from_static("enlace.example");
    request.headers.insert(header::HOST, host);
    job::Job {
        entry: entry::Entry {
            route: "r".into(),
            service: "guiones".into(),
            root: format!("{index:032x}").into(),
            team: Some("arica".into()),
            weight: 1,
            rank: 0,
            deadline: Instant::now(),
            credit: 3,
            repeat: false,
            caller: None,
            rate_limit: None,
            leaving: None,
            insists: false,
        },
        request,
    }
}

fn print(measured: &str, unit: &str, value: f64) {
    println!(r#"{{"measured":"{measured}","{unit}":{value:.2}}}"#);
}

fn measure_digest(measured: &str, body_bytes: usize, digest: impl Fn(&job::Job)) {
    let job = job(1, body_bytes);
    let begun = Instant::now();
    for _ in 0..REQUESTS {
        digest(black_box(&job));
    }
    let each = begun.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS);
    print(measured, "microseconds", each);
}

fn measure_crash() {
    let suspects: Vec<_> = (0..SUSPECTS)
        .map(|index| content::suspect(&job(index, 400)))
        .collect();
    let mut table = table::Table::new(Duration::from_secs(30));
    let id = crash::Id {
        node: incarnation::Incarnation(u64::MAX),
        sequence: 1,
    };
    let now = Instant::now();
    table.attribute(&suspects, (id, "1775281379137-i-5840f93bc3"), 0.0, now);
    let microseconds = now.elapsed().as_secs_f64() * 1e6;
    let records = table.iter();
    let records = records.map(|(fingerprint, record)| convert::to_wire(fingerprint, record, now));
    let batch = quarantine::Batch {
        records: records.collect(),
    };
    let bytes = u32::try_from(message::encode(&batch).len()).unwrap_or(u32::MAX);
    print(
        "attribute a crash to 72 requests",
        "microseconds",
        microseconds,
    );
    print("tell a node of 72 requests", "bytes", f64::from(bytes));
}

fn main() {
    measure_digest("digest of a head", 0, |job| {
        black_box(content::head(job));
    });
    for bytes in [400, 1 << 20] {
        measure_digest(
            &format!("fingerprint, body of {bytes} bytes"),
            bytes,
            |job| {
                black_box(content::fingerprint(job));
            },
        );
    }
    measure_crash();
}
