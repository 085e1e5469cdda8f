//! Logs in files and pipes are plain text.

use std::fs;
use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};

// Guards against escape sequences of colours in log files.
#[test]
fn log_in_a_pipe_has_no_escape_sequences() {
    let folder = tempfile::tempdir().unwrap();
    fs::write(folder.path().join("fleet.secret"), "0123456789abcdef0123").unwrap();
    let settings = folder.path().join("control.yaml");
    let text = "id: 1\nmember: 127.0.0.1:0\noperator: 127.0.0.1:0\nadmin: 127.0.0.1:0\n\
                data: data\nnew: true\nmembers: [{ id: 1, address: 127.0.0.1:1 }]\n\
                secret_file: fleet.secret\noperators: []\n";
    fs::write(&settings, text).unwrap();

    let mut daemon = Command::new(env!("CARGO_BIN_EXE_masticarchd"))
        .args(["control", "--settings"])
        .arg(&settings)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let read = BufReader::new(daemon.stderr.take().unwrap()).read_line(&mut line);
    daemon.kill().unwrap();
    daemon.wait().unwrap();

    read.unwrap();
    assert!(line.contains("control role started"), "{line:?}");
    assert!(!line.contains('\u{1b}'), "{line:?}");
}
