//! The tables of `masticarch status`.

use masticarch_cli::command::status as command;
use masticarch_model::version;
use masticarch_wire::message::status;

fn status_of(team: status::Team) -> status::Status {
    status::Status {
        version: version::Version(7),
        configuration_version: version::Version(6),
        term: 1,
        members: Vec::new(),
        nodes: Vec::new(),
        teams: vec![team],
    }
}

// Guards against a demand that is shown as `-0.0`, which an empty sum gives.
#[test]
fn team_without_demand_has_demand_zero() {
    let idle = status::Team {
        name: "arica".into(),
        rate: 20.0,
        leased: 0.0,
        demand: std::iter::empty::<f64>().sum(),
    };

    let table = command::tables(&status_of(idle));

    assert!(table.contains("arica"), "{table}");
    assert!(!table.contains("-0.0"), "{table}");
}
