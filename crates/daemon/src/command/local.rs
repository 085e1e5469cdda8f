//! `masticarchd local`: every role in one process, to try masticarch out.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use std::{fs, io};

use futures::future;
use masticarch_client::{client, random, settings as client_settings};
use masticarch_control::{options as control_options, role as control};
use masticarch_load::standin;
use masticarch_model::{
    access, configuration, edit, key, limit, member, place, priority, route, secret, team,
};
use masticarch_node::{options as node_options, role as node};
use masticarch_wire::handshake;

use crate::command::serve;
use crate::settings::node::FLEET_CREDENTIAL;
use crate::{arguments, error, log};

/// Name of the operator of a local run.
const OPERATOR: &str = "admin";
/// Service of the example target.
const SERVICE: &str = "hello";
/// File with the operator's secret, in the data directory.
const SECRET_FILE: &str = "admin.secret";
/// File with the settings of the operators' tool, in the data directory.
const TOOL_FILE: &str = "masticarch.yaml";
/// Timeout of each call that reads or applies the configuration.
const APPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for the example target to stop.
const TARGET_STOP_TIMEOUT: Duration = Duration::from_secs(1);
/// Slots of the example target.
const TARGET_SLOTS: usize = 8;

/// The addresses of a local run, on consecutive ports.
struct Addresses {
    caller: SocketAddr,
    peer: SocketAddr,
    node_admin: SocketAddr,
    member: SocketAddr,
    operator: SocketAddr,
    control_admin: SocketAddr,
    target: SocketAddr,
    target_control: SocketAddr,
}

impl Addresses {
    fn new(first: u16) -> Self {
        let port = |offset: u16| SocketAddr::from(([127, 0, 0, 1], first + offset));
        Self {
            caller: port(0),
            peer: port(1),
            node_admin: port(2),
            member: port(3),
            operator: port(4),
            control_admin: port(5),
            target: port(6),
            target_control: port(7),
        }
    }
}

/// Random secrets of a local run.
struct Secrets {
    fleet: String,
    operator: String,
    key: secret::Secret,
}

impl Secrets {
    fn random() -> Result<Self, error::Error> {
        let secret_text = || random::bytes::<32>().map(|bytes| secret::encode(&bytes));
        Ok(Self {
            fleet: secret_text()?,
            operator: secret_text()?,
            key: random::key()?,
        })
    }
}

/// Runs every role on loopback until a signal asks the process to stop.
///
/// # Errors
/// See [`error::Error`].
pub fn run(arguments: &arguments::Local) -> Result<(), error::Error> {
    let _guard = log::init(log::Settings::default());
    let addresses = Addresses::new(arguments.port);
    let secrets = Secrets::random()?;
    let data = data_directory(arguments)?;
    write_tool_settings(&data, &addresses, &secrets)?;
    serve::until_signal(|stop| async move {
        let target = standin::Handle::start(target_settings(&addresses))?;
        let control = control::run(control_settings(&addresses, &secrets, &data), stop.clone());
        let node = node::run(node_settings(&addresses, &secrets), stop.clone());
        let example = apply_example(&addresses, &secrets, &data);
        let control = async { control.await.map_err(error::Error::from) };
        let node = async { node.await.map_err(error::Error::from) };
        future::try_join3(control, node, example).await?;
        target.stop(TARGET_STOP_TIMEOUT).await;
        Ok::<(), error::Error>(())
    })
}

/// Creates the data directory.
fn data_directory(arguments: &arguments::Local) -> Result<PathBuf, error::Error> {
    let data = arguments.data.clone().unwrap_or_else(|| {
        let name = format!("masticarch-local-{}", std::process::id());
        std::env::temp_dir().join(name)
    });
    fs::create_dir_all(&data).map_err(|source| error::Error::File(data.clone(), source))?;
    Ok(data)
}

/// Writes the settings and the secret that the operators' tool needs.
fn write_tool_settings(
    data: &Path,
    addresses: &Addresses,
    secrets: &Secrets,
) -> Result<(), error::Error> {
    let tool = format!(
        "control: [{}]\noperator: {OPERATOR}\nsecret_file: {SECRET_FILE}\n",
        addresses.operator
    );
    write_private(&data.join(SECRET_FILE), &secrets.operator)?;
    write_private(&data.join(TOOL_FILE), &tool)
}

/// Writes a file; a new one can be read only by its owner.
fn write_private(path: &Path, text: &str) -> Result<(), error::Error> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let write = || -> io::Result<()> {
        let mut file = fs::OpenOptions::new()
            .write(true)
            .create(true)
            .truncate(true)
            .mode(0o600)
            .open(path)?;
        file.write_all(text.as_bytes())
    };
    write().map_err(|source| error::Error::File(path.into(), source))
}

fn target_settings(addresses: &Addresses) -> standin::Settings {
    standin::Settings::builder()
        .service(SERVICE)
        .address(addresses.target)
        .control(addresses.target_control)
        .node_admin(addresses.node_admin)
        .slots(TARGET_SLOTS)
        .build()
}

fn control_settings(
    addresses: &Addresses,
    secrets: &Secrets,
    data: &Path,
) -> control_options::Options {
    let id = member::Id(1);
    let first = member::Member {
        id,
        address: addresses.member,
        voter: true,
    };
    control_options::Options::builder()
        .id(id)
        .member(addresses.member)
        .operator(addresses.operator)
        .admin(addresses.control_admin)
        .data(data.join("control"))
        .members(vec![first])
        .new(true)
        .credential(handshake::Credential::new(
            FLEET_CREDENTIAL.into(),
            &secrets.fleet,
        ))
        .operators(vec![handshake::Credential::new(
            OPERATOR.into(),
            &secrets.operator,
        )])
        .build()
}

fn node_settings(addresses: &Addresses, secrets: &Secrets) -> node_options::Options {
    node_options::Options::builder()
        .name("local".into())
        .place(place::Place {
            region: "local".into(),
            domain: "local".into(),
        })
        .caller(addresses.caller)
        .peer(addresses.peer)
        .admin(addresses.node_admin)
        .control(vec![addresses.member])
        .credential(handshake::Credential::new(
            FLEET_CREDENTIAL.into(),
            &secrets.fleet,
        ))
        .build()
}

/// A configuration with two routes to the example target, one for the key of a team
/// and one open to all callers.
fn example_configuration(key: &secret::Secret) -> configuration::Configuration {
    let route = |name: &str, path: &str, access| route::Route {
        host: None,
        split: Vec::new(),
        attempts: None,
        latency_target: None,
        name: name.into(),
        path: path.into(),
        service: SERVICE.into(),
        priority: "normal".into(),
        access,
        idempotent: true,
        timeout: Duration::from_secs(2),
        retries: 3,
    };
    configuration::Configuration {
        priorities: vec![priority::Priority {
            name: "normal".into(),
            below: None,
        }],
        limits: vec![limit::Limit {
            name: "small".into(),
            rate_per_second: 50.0,
            burst: 100,
        }],
        teams: vec![team::Team {
            priority: None,
            name: "example".into(),
            limit: "small".into(),
            weight: 1,
        }],
        keys: vec![key::Key {
            name: "example-1".into(),
            team: "example".into(),
            id: key.id,
            hash: key.hash(),
            withdrawn: false,
        }],
        routes: vec![
            route(
                "hello",
                "/hello",
                access::Access::Teams(vec!["example".into()]),
            ),
            route("open", "/open", access::Access::Open),
        ],
    }
}

/// Applies the example configuration and prints how to use it.
async fn apply_example(
    addresses: &Addresses,
    secrets: &Secrets,
    data: &Path,
) -> Result<(), error::Error> {
    let mut client = client::Client::new(client_settings::Settings {
        control: vec![addresses.operator],
        credential: handshake::Credential::new(OPERATOR.into(), &secrets.operator),
        timeout: APPLY_TIMEOUT,
    });
    let configuration = example_configuration(&secrets.key);
    let (version, _) = client.configuration().await?;
    let change = client.change(version, vec![edit::Edit::Replace(configuration)])?;
    client.apply(change).await?;
    println!("masticarch runs in this process. Try a request:\n");
    println!(
        "  curl -i -H 'masticarch-key: {}' http://{}/hello\n",
        secrets.key.reveal(),
        addresses.caller
    );
    println!("and the operators' tool:\n");
    println!(
        "  cargo run --release --bin masticarch -- --settings {} status\n",
        data.join(TOOL_FILE).display()
    );
    Ok(())
}
