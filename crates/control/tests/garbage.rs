//! Malformed and hostile input on the ports must neither stop the process nor delay
//! other clients.

mod fixture;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use masticarch_kernel::{name, task};
use masticarch_wire::message::operator;
use masticarch_wire::{error, handshake, rpc};

use fixture::{Control, run};

const ATTACK: name::Name = name::Name::new("attack");

/// Deterministic bytes that are neither a handshake nor a call.
fn noise(seed: u64, length: usize) -> Vec<u8> {
    let mut random = fastrand::Rng::with_seed(seed);
    std::iter::repeat_with(|| random.u8(..))
        .take(length)
        .collect()
}

/// Sends bytes from another thread and returns what comes back until the other
/// side closes, and how long that took.
async fn send(address: SocketAddr, bytes: Vec<u8>) -> (Vec<u8>, Duration) {
    let (sender, receiver) = futures::channel::oneshot::channel();
    std::thread::spawn(move || {
        let started = Instant::now();
        let mut stream = TcpStream::connect(address).expect("the port accepts");
        let timeout = Some(Duration::from_secs(10));
        stream.set_read_timeout(timeout).expect("a timeout");
        // The other side may close before everything is written.
        let _ = stream.write_all(&bytes);
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        let _ = stream.shutdown(Shutdown::Both);
        let _ = sender.send((answer, started.elapsed()));
    });
    receiver.await.expect("the thread ends")
}

async fn serves(control: &Control) -> bool {
    let client = control.operator().await;
    let reply = client.call(&operator::Request::Get).await;
    matches!(reply, operator::Reply::Configuration(..))
}

// Guards against noise that ends the process, or that is answered before a
// credential is verified.
#[test]
fn noise_instead_of_a_handshake_is_closed_without_an_answer() {
    run(async {
        let control = Control::start().await;
        assert!(serves(&control).await);

        for (seed, length) in [(1, 1), (2, 101), (3, 70_000)] {
            for address in [control.member, control.operator] {
                let (answer, elapsed) = send(address, noise(seed, length)).await;
                assert!(answer.is_empty(), "{} bytes came back", answer.len());
                assert!(elapsed < Duration::from_secs(3));
            }
        }

        assert!(serves(&control).await);
        control.stop().await;
    });
}

// Guards against credentials of one port that open the other, and against a
// secret that is not compared.
#[test]
fn credentials_open_their_own_port_only() {
    run(async {
        let control = Control::start().await;
        assert!(serves(&control).await);
        let (fleet, operators) = (fixture::fleet_credential(), fixture::operator_credential());
        let wrong = handshake::Credential::new("fleet".into(), "another secret");
        let member = handshake::Role::Member;
        let operator = handshake::Role::Operator;

        for (address, role, credential) in [
            (control.member, member, &operators),
            (control.operator, operator, &fleet),
            (control.operator, member, &fleet),
            (control.member, member, &wrong),
        ] {
            let opened = rpc::connect::<masticarch_wire::masticarch_capnp::member::Client>(
                address, role, credential,
            );
            assert!(opened.await.is_err());
        }

        control.stop().await;
    });
}

// Guards against a process that is stopped by invalid calls of an authenticated
// but faulty member.
#[test]
fn noise_after_the_handshake_closes_that_connection_only() {
    run(async {
        let control = Control::start().await;
        let other = control.member().await;

        // One segment that claims to hold 16 GiB, which must not be reserved.
        let huge = [0, 0, 0, 0, 0xff, 0xff, 0xff, 0x7f].to_vec();
        let attacks = (0..8).map(|seed| noise(seed, 4_096));
        for bytes in attacks.chain([huge]) {
            let mut stream = monoio::net::TcpStream::connect(control.member)
                .await
                .expect("the port accepts");
            let credential = fixture::fleet_credential();
            handshake::connect(&mut stream, handshake::Role::Member, &credential)
                .await
                .expect("the handshake succeeds");
            let attack = async move {
                use monoio::io::AsyncWriteRentExt;
                let (written, _) = stream.write_all(bytes).await;
                written?;
                monoio::time::sleep(Duration::from_millis(100)).await;
                Ok::<(), error::Error>(())
            };
            let _ = task::spawn(ATTACK, attack).await;
        }

        assert!(other.refuses_garbage().await);
        assert!(serves(&control).await);
        control.stop().await;
    });
}

// Guards against the HTTP decoder's panic on long header names, against heads
// without end, and against requests that are not HTTP.
#[test]
fn admin_port_survives_hostile_heads() {
    run(async {
        let control = Control::start().await;
        assert!(serves(&control).await);
        let long_name = format!("GET /health HTTP/1.1\r\n{}: x\r\n\r\n", "a".repeat(70_000));
        let endless = format!("GET /health HTTP/1.1\r\n{}", "a: b\r\n".repeat(20_000));

        let (long_name, _) = send(control.admin, long_name.into_bytes()).await;
        let (endless, _) = send(control.admin, endless.into_bytes()).await;
        let (unfinished, elapsed) = send(control.admin, b"GET /health".to_vec()).await;
        let (noise, _) = send(control.admin, noise(5, 512)).await;

        assert!(long_name.is_empty());
        assert!(endless.is_empty());
        assert!(unfinished.is_empty());
        assert!(elapsed < Duration::from_secs(4));
        assert!(!noise.starts_with(b"HTTP/1.1 200"));
        assert!(serves(&control).await);
        control.stop().await;
    });
}

/// The number of operators' calls in an exposition of the metrics.
fn operator_calls(exposition: &[u8]) -> u64 {
    let text = std::str::from_utf8(exposition).expect("metrics are text");
    let count = text
        .lines()
        .find_map(|line| line.strip_prefix("masticarch_control_calls_total{call=\"operator\"} "));
    count.expect("calls are counted").parse().unwrap()
}

// Guards against an admin port that answers probes wrongly.
#[test]
fn admin_port_serves_health_readiness_and_metrics() {
    run(async {
        let control = Control::start().await;
        let get = |path: &str| format!("GET {path} HTTP/1.1\r\nhost: x\r\n\r\n").into_bytes();
        let (before, _) = send(control.admin, get("/metrics")).await;
        assert!(serves(&control).await);

        let (health, _) = send(control.admin, get("/health")).await;
        let (ready, _) = send(control.admin, get("/ready")).await;
        let (metrics, _) = send(control.admin, get("/metrics")).await;
        let (other, _) = send(control.admin, get("/other")).await;
        let (post, _) = send(control.admin, b"POST /health HTTP/1.1\r\n\r\n".to_vec()).await;

        assert!(health.starts_with(b"HTTP/1.1 200"));
        assert!(ready.starts_with(b"HTTP/1.1 200"));
        assert_eq!(operator_calls(&metrics), operator_calls(&before) + 1);
        let metrics = String::from_utf8(metrics).expect("metrics are text");
        assert!(metrics.contains("masticarch_control_leads 1"));
        assert!(other.starts_with(b"HTTP/1.1 404"));
        assert!(post.starts_with(b"HTTP/1.1 405"));
        control.stop().await;
    });
}
