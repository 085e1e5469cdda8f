//! Logs on standard output.

use std::fs;
use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

/// A control process that founds a group of its own, and its folder.
fn daemon() -> (tempfile::TempDir, Child) {
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("fleet.secret"), "0123456789abcdef0123").unwrap();
    let settings = folder.path().join("control.yaml");
    let text = "id: 1\nmember: 127.0.0.1:0\noperator: 127.0.0.1:0\nadmin: 127.0.0.1:0\n\
                data: data\nnew: true\nmembers: [{ id: 1, address: 127.0.0.1:1 }]\n\
                secret_file: fleet.secret\noperators: []\n";
    fs::write(&settings, text).unwrap();
    let child = Command::new(env!("CARGO_BIN_EXE_masticarchd"))
        .args(["control", "--settings"])
        .arg(&settings)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    (folder, child)
}

// Guards against escape sequences of colours in log files.
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

// Guards against a process that ends because its settings may have changed.
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
