//! Settings are checked as a whole and every fault is reported at once.

use std::fs;
use std::path::{Path, PathBuf};

use expect_test::{Expect, expect};
use masticarch_daemon::settings::{control, node};
use rstest::rstest;
use tempfile::TempDir;

/// A directory with secrets and one settings file.
fn settings_file(text: &str) -> (TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    for name in ["fleet.secret", "admin.secret"] {
        fs::write(folder.path().join(name), "0123456789abcdef0123\n").unwrap();
    }
    let path = folder.path().join("settings.yaml");
    fs::write(&path, text).unwrap();
    (folder, path)
}

fn example(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    fs::read_to_string(root.join(name)).unwrap()
}

/// The faults of a settings file, without its directory.
fn faults(folder: &TempDir, error: &masticarch_daemon::error::Error) -> String {
    let folder = format!("{}/", folder.path().display());
    error.to_string().replace(&folder, "")
}

fn check(expected: &Expect, folder: &TempDir, error: &masticarch_daemon::error::Error) {
    expected.assert_eq(&faults(folder, error));
}

// Guards against example files that the daemon refuses.
#[rstest]
#[case("radio-enlace")]
#[case("karri-ridge")]
fn example_settings_have_no_faults(#[case] deployment: &str) {
    let (_node_folder, node_file) = settings_file(&example(&format!("{deployment}/node.yaml")));
    let (_control_folder, control_file) =
        settings_file(&example(&format!("{deployment}/control.yaml")));

    let node = node::Settings::read(&node_file);
    let control = control::Settings::read(&control_file);

    assert!(node.is_ok(), "{node:?}");
    assert!(control.is_ok(), "{control:?}");
}

// Guards against a report that stops at the first fault or lacks the line numbers.
#[test]
fn every_fault_of_a_node_file_is_reported_with_its_line() {
    let (folder, path) = settings_file(
        "name: Norte_1\n\
         region: norte\n\
         caller: not-an-address\n\
         peer: 127.0.0.1:7001\n\
         admin: 127.0.0.1:7002\n\
         control: []\n\
         secret_file: absent.secret\n\
         queue_limit_ms: 0\n\
         queue_limit: 5\n",
    );

    let error = node::Settings::read(&path).unwrap_err();

    check(
        &expect![[r#"
        4001 bad_settings
        settings.yaml: name: Norte_1 is not 1 to 63 characters of a-z, 0-9 and -
        settings.yaml: domain: is missing; it takes 1 to 63 characters of a-z, 0-9 and -
        settings.yaml: control: takes at least one address
        settings.yaml: secret_file: absent.secret: No such file or directory (os error 2)
        settings.yaml:3: caller: "not-an-address" is not an address as IP:PORT (invalid socket address syntax)
        settings.yaml:8: queue_limit_ms: 0 is not a number of milliseconds from 1 to 10000
        settings.yaml:9: queue_limit: no such field"#]],
        &folder,
        &error,
    );
}

// Guards against a control process that is not among its initial members.
#[test]
fn faults_of_a_control_file_are_reported() {
    let (folder, path) = settings_file(
        "id: 9\n\
         member: 127.0.0.1:7101\n\
         operator: 127.0.0.1:7102\n\
         admin: 127.0.0.1:7103\n\
         data: data\n\
         members: [{ id: 1, address: 127.0.0.1:7101 }]\n\
         secret_file: fleet.secret\n\
         operators: [{ name: admin, secret_file: absent.secret }]\n",
    );

    let error = control::Settings::read(&path).unwrap_err();

    check(
        &expect![[r"
        4001 bad_settings
        settings.yaml: members: does not list the id of this process
        settings.yaml: operators: absent.secret: No such file or directory (os error 2)"]],
        &folder,
        &error,
    );
}

// Guards against a fault of `log` that shows another type name to the operator
// after a rename.
#[rstest]
#[case::number(
    "5",
    "5 is not format (text, json) and level (invalid type: integer `5`, expected struct Log)"
)]
#[case::text(
    "text",
    "\"text\" is not format (text, json) and level (invalid type: string \"text\", expected struct Log)"
)]
fn log_that_is_not_a_mapping_is_reported(#[case] log: &str, #[case] detail: &str) {
    let (folder, path) = settings_file(&format!("log: {log}\n"));

    let error = node::Settings::read(&path).unwrap_err();

    let reported = faults(&folder, &error);
    let line = format!("settings.yaml:1: log: {detail}");
    assert!(reported.lines().any(|one| one == line), "{reported}");
}
