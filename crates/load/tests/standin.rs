//! A stand-in bounds concurrent requests by its slots, counts executions, announces
//! itself and changes its behaviour on request.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future;
use http::{Method, Request, Response, StatusCode};
use masticarch_kernel::{name, runtime, stop, task};
use masticarch_load::http::{connection, server};
use masticarch_load::standin::{behaviour, distribution, record};
use masticarch_load::{ports, standin};
use masticarch_wire::header;
use monoio::net::TcpListener;

/// Service time of a request; [`settings`] states the same.
const SERVICE_MS: u64 = 50;

fn address() -> SocketAddr {
    ports::allocate(ports::loopback(1)).unwrap()
}

fn settings(slots: usize) -> standin::Settings {
    standin::Settings::builder()
        .service("guiones")
        .address(address())
        .control(address())
        .slots(slots)
        .service_ms(distribution::Distribution::Fixed(50.0))
        .build()
}

fn request(path: &str) -> Request<Bytes> {
    Request::get(path)
        .header(header::REQUEST_ID, "r-1")
        .body(Bytes::from_static(b"script"))
        .unwrap()
}

fn run<F: Future>(test: F) -> F::Output {
    runtime::run(test).unwrap()
}

/// Admin port of a node that records announcements, each with its method and path.
#[derive(Clone)]
struct Admin(std::rc::Rc<std::cell::RefCell<Vec<(String, Bytes)>>>);

impl server::Handler for Admin {
    fn handle(
        &self,
        request: Request<Bytes>,
    ) -> impl Future<Output = Option<Response<Bytes>>> + 'static {
        let path = format!("{} {}", request.method(), request.uri().path());
        self.0.borrow_mut().push((path, request.into_body()));
        future::ready(Some(server::answer(StatusCode::NO_CONTENT, "")))
    }
}

// Guards against answers from which a caller cannot tell that they belong to its
// request.
#[test]
fn answer_repeats_the_body() {
    let answer = run(async {
        let settings = settings(1);
        let target = settings.address;
        let _standin = standin::Handle::start(settings).unwrap();

        connection::exchange(target, request("/guiones"))
            .await
            .unwrap()
    });

    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(answer.body().as_ref(), b"script");
}

// Guards against a stand-in that runs more requests concurrently than it has slots.
#[test]
fn requests_above_the_slots_queue() {
    let elapsed = run(async {
        let settings = settings(1);
        let target = settings.address;
        let _standin = standin::Handle::start(settings).unwrap();
        let started = Instant::now();

        let calls = (0..3).map(|_| connection::exchange(target, request("/guiones")));
        future::try_join_all(calls).await.unwrap();
        started.elapsed()
    });

    assert!(
        elapsed >= Duration::from_millis(3 * SERVICE_MS),
        "{elapsed:?}"
    );
}

// Guards against executions that are not counted by request id.
#[test]
fn executions_are_counted_by_request_id() {
    let executions: record::Executions = run(async {
        let settings = settings(2);
        let target = settings.address;
        let control = settings.control;
        let _standin = standin::Handle::start(settings).unwrap();
        for _ in 0..2 {
            connection::exchange(target, request("/guiones"))
                .await
                .unwrap();
        }

        let answer = connection::exchange(control, request("/executions")).await;
        serde_json::from_slice(answer.unwrap().body()).unwrap()
    });

    assert_eq!(executions.total, 2);
    assert_eq!(executions.by_request_id["r-1"], 2);
    assert_eq!(executions.keys_seen, 0);
}

// Guards against a key in an unexpected header that the stand-in misses.
#[test]
fn key_in_any_header_is_noticed() {
    let executions = run(async {
        let settings = settings(1);
        let target = settings.address;
        let standin = standin::Handle::start(settings).unwrap();
        let mut request = request("/guiones");
        let value = http::HeaderValue::from_static("Bearer mk_00_11");
        request.headers_mut().insert("x-other", value);

        connection::exchange(target, request).await.unwrap();
        standin.executions().await.unwrap()
    });

    assert_eq!(executions.keys_seen, 1);
}

// Guards against a change of behaviour that has no effect while the stand-in runs.
#[test]
fn failure_share_changes_while_it_runs() {
    let (before, after) = run(async {
        let settings = settings(1);
        let target = settings.address;
        let control = settings.control;
        let _standin = standin::Handle::start(settings).unwrap();
        let before = connection::exchange(target, request("/guiones"))
            .await
            .unwrap();
        let change = Request::builder()
            .method(Method::PUT)
            .uri("/control")
            .body(Bytes::from_static(br#"{"failure_share":1.0}"#))
            .unwrap();

        connection::exchange(control, change).await.unwrap();
        let after = connection::exchange(target, request("/guiones"))
            .await
            .unwrap();
        (before.status(), after.status())
    });

    assert_eq!(before, StatusCode::OK);
    assert_eq!(after, StatusCode::INTERNAL_SERVER_ERROR);
}

// Guards against announcements that are not sent, or that don't show that the
// stand-in is draining.
#[test]
fn stand_in_announces_itself_and_its_leaving() {
    let seen = run(async {
        let node = address();
        let seen = Admin(std::rc::Rc::default());
        let (_stop, signal) = stop::Stop::new();
        let listener = TcpListener::bind(node).unwrap();
        let handler = seen.clone();
        task::spawn(
            name::Name::new("admin"),
            server::serve(listener, 4, handler, signal),
        );
        let mut settings = settings(14);
        settings.node_admin = Some(node);
        let standin = standin::Handle::start(settings).unwrap();
        monoio::time::sleep(Duration::from_millis(200)).await;

        let change = behaviour::Change {
            draining: Some(true),
            ..behaviour::Change::default()
        };
        standin.change(change).await.unwrap();
        monoio::time::sleep(Duration::from_secs(1)).await;
        seen.0.borrow().clone()
    });

    let states: Vec<serde_json::Value> = seen
        .iter()
        .map(|(_, body)| serde_json::from_slice(body).unwrap())
        .collect();
    assert!(seen.iter().all(|(path, _)| path == "PUT /targets/guiones"));
    assert_eq!(states[0]["state"], "serving");
    assert_eq!(states[0]["slots"], 14);
    assert_eq!(states.last().unwrap()["state"], "draining");
}

// Guards against connections above the announced maximum that are served.
#[test]
fn connections_above_the_limit_are_closed() {
    let refused = run(async {
        let mut settings = settings(4);
        settings.connections = 1;
        let target = settings.address;
        let _standin = standin::Handle::start(settings).unwrap();
        let mut first = connection::Connection::open(target).await.unwrap();
        first.exchange(request("/guiones")).await.unwrap();

        connection::exchange(target, request("/guiones")).await
    });

    assert!(refused.is_err());
}
