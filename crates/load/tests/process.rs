//! Processes of a fleet can be started, frozen, killed and shut down.

use std::path::PathBuf;
use std::time::Duration;

use masticarch_kernel::runtime;
use masticarch_load::fleet::process;

/// Starts a stand-in from this package's binary, as a process that runs until it is
/// ended.
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

// Guards against a wait that misses the end of a process after SIGTERM.
#[test]
fn terminated_process_is_seen_to_end() {
    let directory = tempfile::tempdir().unwrap();
    let mut process = standin(&directory);

    process.terminate().unwrap();
    let status = runtime::run(process.wait(Duration::from_secs(5))).unwrap();

    assert!(status.unwrap().is_some());
}

// Guards against a frozen process that cannot be killed and restarted.
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
