//! What identifies a request to the quarantine.

use std::time::Instant;

use bytes::Bytes;
use http::{HeaderValue, Method, header};
use masticarch_node::admission::entry;
use masticarch_node::quarantine::content;
use masticarch_node::target::job;
use masticarch_wire::http::request;
use rstest::rstest;

fn job() -> job::Job {
    let uri = "/guiones/1?version=2".parse().unwrap();
    let mut request = request::Request::new(Method::POST, uri, Bytes::from_static(b"body"));
    let host = HeaderValue::from_static("enlace.example");
    request.headers.insert(header::HOST, host);
    job::Job {
        entry: entry::Entry {
            route: "r".into(),
            service: "guiones".into(),
            root: "request-1".into(),
            team: Some("arica".into()),
            weight: 1,
            rank: 0,
            deadline: Instant::now(),
            credit: 3,
            repeat: false,
            caller: Some("alertas".into()),
            rate_limit: None,
            leaving: None,
            insists: false,
        },
        request,
    }
}

// Guards against copies of a request that are taken for other requests.
#[test]
fn copies_have_the_same_fingerprint() {
    let mut copy = job();
    copy.entry.root = "request-2".into();
    copy.entry.caller = None;
    copy.entry.credit = 1;
    let agent = HeaderValue::from_static("other");
    copy.request.headers.insert(header::USER_AGENT, agent);
    let host = HeaderValue::from_static("Enlace.Example");
    copy.request.headers.insert(header::HOST, host);

    assert_eq!(content::fingerprint(&job()), content::fingerprint(&copy));
}

// Guards against the refusal of requests that only resemble a crashing one, of those of other
// teams among them.
#[rstest]
#[case::team(|job: &mut job::Job| job.entry.team = Some("calama".into()))]
#[case::no_team(|job: &mut job::Job| job.entry.team = None)]
#[case::service(|job: &mut job::Job| job.entry.service = "alertas".into())]
#[case::method(|job: &mut job::Job| job.request.method = Method::PUT)]
#[case::path(|job: &mut job::Job| job.request.uri = "/guiones/2?version=2".parse().unwrap())]
#[case::query(|job: &mut job::Job| job.request.uri = "/guiones/1?version=3".parse().unwrap())]
#[case::host(|job: &mut job::Job| { job.request.headers.remove(header::HOST); })]
#[case::body(|job: &mut job::Job| job.request.body = Bytes::from_static(b"Body"))]
fn other_requests_have_other_fingerprints(#[case] change: fn(&mut job::Job)) {
    let mut other = job();

    change(&mut other);

    assert_ne!(content::fingerprint(&job()), content::fingerprint(&other));
}
