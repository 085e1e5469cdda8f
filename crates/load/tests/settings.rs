//! Settings files of the daemon have the documented fields.

use std::net::SocketAddr;

use masticarch_load::fleet::settings;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 5, 1], port))
}

fn node() -> settings::Node {
    settings::Node {
        name: "node-0".into(),
        region: "centro".into(),
        domain: "centro-a".into(),
        caller: address(1),
        peer: address(2),
        advertised: None,
        admin: address(3),
        control: vec![address(4)],
        secret_file: "fleet.secret".into(),
        decisions: false,
    }
}

// Guards against a settings file whose fields or formats differ from those that the
// daemon reads.
#[test]
fn node_settings_are_written_as_documented() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("node.yaml");

    settings::write(&path, &node()).unwrap();

    let text = std::fs::read_to_string(&path).unwrap();
    let read: serde_json::Value = serde_saphyr::from_str(&text).unwrap();
    let expected = serde_json::json!({
        "name": "node-0",
        "region": "centro",
        "domain": "centro-a",
        "caller": "127.0.5.1:1",
        "peer": "127.0.5.1:2",
        "admin": "127.0.5.1:3",
        "control": ["127.0.5.1:4"],
        "secret_file": "fleet.secret",
        "decisions": false,
    });
    assert_eq!(read, expected);
}
