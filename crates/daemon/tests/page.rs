//! The page on settings names the fields that the daemon reads.

use std::fs;
use std::path::Path;

use masticarch_daemon::settings::{control, node};

/// The fields in the table under a heading of the page.
fn fields_of(heading: &str) -> Vec<String> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/settings.md");
    let page = fs::read_to_string(path).unwrap();
    let (_, section) = page.split_once(&format!("## {heading}\n")).unwrap();
    section
        .lines()
        .take_while(|line| !line.starts_with("## "))
        .filter_map(|line| line.strip_prefix("| `")?.split('`').next())
        .map(str::to_owned)
        .collect()
}

/// The faults of a file in which each field has a value that no field accepts.
fn faults(fields: &[String], read: impl Fn(&Path) -> Option<String>) -> Vec<String> {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("settings.yaml");
    let lines: Vec<_> = fields
        .iter()
        .map(|field| format!("{field}: [[]]"))
        .collect();
    fs::write(&path, lines.join("\n")).unwrap();
    let faults = read(&path).unwrap();
    faults.lines().skip(1).map(str::to_owned).collect()
}

fn check(fields: &[String], faults: &[String]) {
    let unknown = |fault: &&String| fault.contains("no such field");
    let absent = |fault: &&String| fault.contains("is missing");
    assert_eq!(faults.iter().find(unknown), None);
    assert_eq!(faults.iter().find(absent), None);
    // No field accepts the value, so a field without a fault is one that is not read.
    assert_eq!(faults.len(), fields.len(), "{faults:#?}");
}

// Guards against a page that lacks a required field or names one that is gone.
#[test]
fn page_names_the_fields_of_a_node() {
    let fields = fields_of("Node");

    let faults = faults(&fields, |path| {
        Some(node::Settings::read(path).err()?.to_string())
    });

    check(&fields, &faults);
}

// Guards against a page that lacks a required field of a control process or names
// one that is gone.
#[test]
fn page_names_the_fields_of_a_control_process() {
    let fields = fields_of("Control");

    let faults = faults(&fields, |path| {
        Some(control::Settings::read(path).err()?.to_string())
    });

    check(&fields, &faults);
}
