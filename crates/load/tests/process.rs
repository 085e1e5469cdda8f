//! Processes of a fleet start, end and leave nothing behind.

use std::path::PathBuf;
use std::time::Duration;

use masticarch_kernel::runtime;
use masticarch_load::fleet::process;

/// This package's own program serves as a long-running process.
fn standin(directory: &tempfile::TempDir) -> process::Process {
    let address = || masticarch_load::ports::allocate(masticarch_load::ports::loopback(4)).unwrap();
    let arguments = [
        "standin".to_owned(),
        "--service=guiones".to_owned(),
        format!("--address={}", address()),
        format!("--control={}", address()),
    ];
    let program = PathBuf::from(env!("CARGO_BIN_EXE_masticarch-load"));
    let log = directory.path().join("log");
    process::Process::start(program, arguments.into(), log).unwrap()
}

// Guards against a process that outlives the request to shut down unnoticed.
#[test]
fn terminated_process_is_seen_to_end() {
    let directory = tempfile::tempdir().unwrap();
    let mut process = standin(&directory);

    process.terminate().unwrap();
    let status = runtime::run(process.wait(Duration::from_secs(5))).unwrap();

    assert!(status.unwrap().is_some());
}

// Guards against a frozen process that cannot be killed and started again.
#[test]
fn frozen_process_is_killed_and_restarted() {
    let directory = tempfile::tempdir().unwrap();
    let mut process = standin(&directory);

    process.freeze().unwrap();
    process.kill().unwrap();
    process.restart().unwrap();
    let running = runtime::run(process.wait(Duration::from_millis(200))).unwrap();

    assert!(running.is_err());
}
