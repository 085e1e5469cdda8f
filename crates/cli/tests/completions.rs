//! Completion scripts are written to standard output.

use std::process::{Command, Stdio};

fn completions(output: Stdio) -> std::process::Output {
    Command::new(env!("CARGO_BIN_EXE_masticarch"))
        .args(["completions", "bash"])
        .stdout(output)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
        .wait_with_output()
        .unwrap()
}

// Guards against a panic when the reader closes the pipe early, as `head` does.
#[test]
fn closed_output_is_no_panic() {
    let (reader, writer) = std::io::pipe().unwrap();
    drop(reader);

    let ended = completions(writer.into());

    let errors = String::from_utf8_lossy(&ended.stderr).into_owned();
    assert!(ended.status.success(), "{errors}");
    assert_eq!(errors, "");
}

// Guards against a script that is generated and not written to the output.
#[test]
fn script_names_the_subcommands() {
    let ended = completions(Stdio::piped());

    let script = String::from_utf8(ended.stdout).unwrap();
    assert!(script.contains("withdraw"));
}
