//! Effects of each fault and each cut of the proxy on its connections.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use masticarch_kernel::runtime;
use masticarch_load::http::connection;
use masticarch_load::proxy::fault;
use masticarch_load::standin::distribution;
use masticarch_load::{error, ports, proxy, standin};

/// Time without an answer after which a connection counts as silent.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);

struct Fixture {
    proxy: proxy::Handle,
    standin: standin::Handle,
}

fn address() -> SocketAddr {
    ports::allocate(ports::loopback(2)).unwrap()
}

fn fixture() -> Fixture {
    let settings = standin::Settings::builder()
        .service("guiones")
        .address(address())
        .control(address())
        .service_ms(distribution::Distribution::Fixed(0.0))
        .build();
    let proxy = proxy::Handle::start(address(), settings.address).unwrap();
    Fixture {
        proxy,
        standin: standin::Handle::start(settings).unwrap(),
    }
}

async fn open(fixture: &Fixture) -> connection::Connection {
    let address = fixture.proxy.listening();
    connection::Connection::open(address).await.unwrap()
}

/// Sends a request; returns `None` when the connection stays silent.
async fn exchange(
    connection: &mut connection::Connection,
) -> Option<Result<Response<Bytes>, error::Error>> {
    let request = Request::get("/").body(Bytes::new()).unwrap();
    monoio::time::timeout(SILENCE_TIMEOUT, connection.exchange(request))
        .await
        .ok()
}

fn run<F: Future>(test: F) -> F::Output {
    runtime::run(test).unwrap()
}

// Guards against a delay that is added in only one direction.
#[test]
fn delay_is_added_each_way() {
    let elapsed = run(async {
        let fixture = fixture();
        let mut connection = open(&fixture).await;
        let fault = fault::Fault {
            delay_ms: 50,
            ..fault::Fault::default()
        };
        fixture.proxy.apply(fault).await.unwrap();
        let started = Instant::now();

        exchange(&mut connection).await.unwrap().unwrap();
        started.elapsed()
    });

    assert!(elapsed >= Duration::from_millis(100), "{elapsed:?}");
}

// Guards against a blackhole that closes existing connections or affects new ones.
#[test]
fn blackhole_silences_old_connections_only() {
    let (cut, old, new) = run(async {
        let fixture = fixture();
        let mut old = open(&fixture).await;
        exchange(&mut old).await.unwrap().unwrap();

        let cut = fixture.proxy.cut(fault::Cut::Blackhole).await.unwrap();
        let silent = exchange(&mut old).await.is_none();
        let mut new = open(&fixture).await;
        (cut, silent, exchange(&mut new).await.unwrap().is_ok())
    });

    assert_eq!(cut, 1);
    assert!(old);
    assert!(new);
}

// Guards against a reset after which the client still waits for an answer.
#[test]
fn reset_ends_existing_connections() {
    let answer = run(async {
        let fixture = fixture();
        let mut connection = open(&fixture).await;
        exchange(&mut connection).await.unwrap().unwrap();

        fixture.proxy.cut(fault::Cut::Reset).await.unwrap();
        exchange(&mut connection).await
    });

    assert!(matches!(answer, Some(Err(_))));
}

// Guards against new connections that are served while the fault refuses them. The
// client may see the reset while it connects or only when it sends a request.
#[test]
fn refused_connections_are_closed() {
    let answer = run(async {
        let fixture = fixture();
        let fault = fault::Fault {
            refuse: true,
            ..fault::Fault::default()
        };
        fixture.proxy.apply(fault).await.unwrap();

        match connection::Connection::open(fixture.proxy.listening()).await {
            Ok(mut connection) => exchange(&mut connection).await,
            Err(failure) => Some(Err(failure)),
        }
    });

    assert!(matches!(answer, Some(Err(_))));
}

// Guards against a half-close that leaves the forward direction open.
#[test]
fn half_close_ends_the_forward_direction() {
    let (cut, open) = run(async {
        let fixture = fixture();
        let mut connection = open(&fixture).await;
        exchange(&mut connection).await.unwrap().unwrap();

        let cut = fixture.proxy.cut(fault::Cut::HalfClose).await.unwrap();
        let answer = exchange(&mut connection).await;
        (cut, matches!(answer, Some(Ok(_))))
    });

    assert_eq!(cut, 1);
    assert!(!open);
}

// Guards against a bandwidth limit that does not slow bodies down.
#[test]
fn bandwidth_limits_the_time_of_a_body() {
    let elapsed = run(async {
        let fixture = fixture();
        let mut connection = open(&fixture).await;
        let fault = fault::Fault {
            bandwidth: Some(100_000),
            ..fault::Fault::default()
        };
        fixture.proxy.apply(fault).await.unwrap();
        let body = Bytes::from(vec![b'.'; 10_000]);
        let request = Request::post("/").body(body).unwrap();
        let started = Instant::now();

        connection.exchange(request).await.unwrap();
        started.elapsed()
    });

    assert!(elapsed >= Duration::from_millis(180), "{elapsed:?}");
}

// Guards against a stall that loses bytes instead of delivering them afterwards.
#[test]
fn stalled_bytes_arrive_after_the_stall() {
    let status = run(async {
        let fixture = fixture();
        let mut connection = open(&fixture).await;
        exchange(&mut connection).await.unwrap().unwrap();
        let stall = fault::Fault {
            stall: true,
            ..fault::Fault::default()
        };
        fixture.proxy.apply(stall).await.unwrap();
        let request = Request::get("/").body(Bytes::new()).unwrap();
        let pending = connection.exchange(request);

        let release = async {
            monoio::time::sleep(SILENCE_TIMEOUT).await;
            let free = fault::Fault::default();
            fixture.proxy.apply(free).await.unwrap();
        };
        let (answer, ()) = futures::future::join(pending, release).await;
        answer.unwrap().status()
    });

    assert_eq!(status, http::StatusCode::OK);
}

// Guards against a silent backward direction that also holds back requests.
#[test]
fn silence_backward_lets_requests_through() {
    let (silent, executions) = run(async {
        let fixture = fixture();
        let mut connection = open(&fixture).await;
        let fault = fault::Fault {
            silent: Some(fault::Direction::Backward),
            ..fault::Fault::default()
        };
        fixture.proxy.apply(fault).await.unwrap();

        let silent = exchange(&mut connection).await.is_none();
        let executions = fixture.standin.executions().await.unwrap();
        (silent, executions.total)
    });

    assert!(silent);
    assert_eq!(executions, 1);
}
