//! Differences between a configuration file and the current configuration, by
//! kind and name.

use std::fs;

use expect_test::expect;
use masticarch_cli::command::diff;
use masticarch_cli::document;
use masticarch_model::{configuration, key, limit};

fn limit(name: &str, rate: f64) -> limit::Limit {
    limit::Limit {
        name: name.into(),
        rate_per_second: rate,
        burst: 10,
    }
}

fn key(name: &str) -> key::Key {
    key::Key {
        name: name.into(),
        team: "arica".into(),
        id: [1; 8],
        hash: [2; 32],
        withdrawn: false,
    }
}

fn with_limits(limits: Vec<limit::Limit>) -> configuration::Configuration {
    configuration::Configuration {
        limits,
        ..configuration::Configuration::default()
    }
}

fn document_of(text: &str) -> document::Document {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("fleet.yaml");
    fs::write(&path, text).unwrap();
    document::Document::read(&path).unwrap()
}

// Guards against a diff that hides a changed value or a deletion.
#[test]
fn created_changed_and_deleted_objects_are_told_apart() {
    let current = with_limits(vec![
        limit("gone", 1.0),
        limit("kept", 1.0),
        limit("other", 1.0),
    ]);
    let desired = with_limits(vec![
        limit("fresh", 1.0),
        limit("kept", 1.0),
        limit("other", 2.0),
    ]);

    let differences = diff::differences(&current, &desired);

    expect![[r#"[{"step":"create","kind":"limit","name":"fresh"},{"step":"delete","kind":"limit","name":"gone"},{"step":"change","kind":"limit","name":"other"}]"#]]
        .assert_eq(&serde_json::to_string(&differences).unwrap());
}

// Guards against an apply that withdraws every issued key by omission.
#[test]
fn file_without_keys_keeps_the_present_ones() {
    let document = document_of("limits: []\n");

    let configuration = document.into_configuration(&[key("arica-1")]);

    assert_eq!(configuration.keys, vec![key("arica-1")]);
}

// Guards against a file whose empty list of keys is ignored.
#[test]
fn file_with_an_empty_list_of_keys_removes_them() {
    let document = document_of("keys: []\n");

    let configuration = document.into_configuration(&[key("arica-1")]);

    assert!(configuration.keys.is_empty());
}
