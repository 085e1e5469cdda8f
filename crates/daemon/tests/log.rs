//! Log lines on standard output.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Capacity of a pipe on Linux.
const PIPE_BYTES: usize = 64 << 10;

/// Starts a control process that forms a group of its own, and returns it with its
/// directory.
fn daemon() -> (tempfile::TempDir, Child) {
    daemon_with(TcpListener::bind("127.0.0.1:0").unwrap(), Stdio::piped())
}

/// As [`daemon`], with the admin port at the address of the listener `admin`, which is
/// closed first.
fn daemon_with(admin: TcpListener, output: Stdio) -> (tempfile::TempDir, Child) {
    let address = admin.local_addr().unwrap();
    drop(admin);
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("fleet.secret"), "0123456789abcdef0123").unwrap();
    let settings = folder.path().join("control.yaml");
    let text = format!(
        "id: 1\nmember: 127.0.0.1:0\noperator: 127.0.0.1:0\nadmin: {address}\n\
         data: data\nnew: true\nmembers: [{{ id: 1, address: 127.0.0.1:1 }}]\n\
         secret_file: fleet.secret\noperators: []\n"
    );
    fs::write(&settings, text).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_masticarchd"))
        .args(["control", "--settings"])
        .arg(&settings)
        .stdout(output)
        .spawn()
        .unwrap();
    (folder, child)
}

// Guards against escape sequences for colours in log files.
#[test]
fn log_in_a_pipe_has_no_escape_sequences() {
    let (_folder, mut daemon) = daemon();
    let mut line = String::new();
    let read = BufReader::new(daemon.stdout.take().unwrap()).read_line(&mut line);
    daemon.kill().unwrap();
    daemon.wait().unwrap();

    read.unwrap();
    assert!(line.contains("control role started"), "{line:?}");
    assert!(!line.contains('\u{1b}'), "{line:?}");
}

// Guards against a process that ends at SIGHUP, the default action of the signal.
#[test]
fn hangup_ends_nothing() {
    let (_folder, mut daemon) = daemon();
    let mut log = BufReader::new(daemon.stdout.take().unwrap());
    let mut line = String::new();
    log.read_line(&mut line).unwrap();

    let id = i32::try_from(daemon.id()).unwrap();
    let process = rustix::process::Pid::from_raw(id).unwrap();
    rustix::process::kill_process(process, rustix::process::Signal::HUP).unwrap();
    while !line.contains("settings may have changed") {
        line.clear();
        assert_ne!(log.read_line(&mut line).unwrap(), 0, "the process ended");
    }

    assert!(daemon.try_wait().unwrap().is_none());
    daemon.kill().unwrap();
    daemon.wait().unwrap();
}

/// The start of the status line of `/metrics`, up to the code; waits until the port
/// is open.
fn metrics_status(address: SocketAddr) -> Option<String> {
    let started = Instant::now();
    while started.elapsed() < Duration::from_secs(5) {
        let Ok(mut stream) = TcpStream::connect(address) else {
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        stream
            .set_read_timeout(Some(Duration::from_secs(5)))
            .unwrap();
        let request = b"GET /metrics HTTP/1.1\r\nhost: control\r\nconnection: close\r\n\r\n";
        stream.write_all(request).unwrap();
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).ok()?;
        return String::from_utf8(answer.to_vec()).ok();
    }
    None
}

// Guards against a process that blocks because nothing reads its log.
#[test]
fn full_pipe_stops_no_request() {
    let (_reader, mut writer) = std::io::pipe().unwrap();
    writer.write_all(&vec![b'\n'; PIPE_BYTES]).unwrap();
    let admin = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = admin.local_addr().unwrap();

    let (_folder, mut daemon) = daemon_with(admin, writer.into());
    let answer = metrics_status(address);

    daemon.kill().unwrap();
    daemon.wait().unwrap();
    assert_eq!(answer.as_deref(), Some("HTTP/1.1 200"));
}
