//! A configuration without tenants follows one with tenants.

#[path = "fleet.rs"]
mod fleet;

use std::path::Path;
use std::thread;
use std::time::Duration;

use fleet::{Action, Attempt, Fleet, Instance, Message, Record};

/// `configApplyS` of the deployment, and some more.
const CONFIG_APPLY: Duration = Duration::from_millis(2500);
/// Requests that are sent under each configuration.
const REQUESTS: usize = 100;
/// Requests that the rule allows to be refused: 5 and one in 500.
const ALLOWED: usize = 5 + REQUESTS / 500;

/// A configuration with this version on top of another one.
fn configuration(version: u32, base: u32, timeout: &str, tenants: &str) -> String {
    format!(
        r#"{{"version":"r{version}","routes":{{"script":{{"host":"hulo84.example","pathPrefix":"/leny950/","type":"safe","timeoutS":{timeout},"targetLatencyS":1.5,"priority":2,"service":"guiones","maxAttempts":2,"allowAnonymous":false}}}},"services":{{"guiones":{{"healthCheckPath":"/health","maxConnections":532,"protocol":"h1","tls":false}}}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}},{tenants}"baseVersion":"r{base}"}}"#
    )
}

const TENANTS: &str = r#""tenants":{"pulo780":{"apiKeys":["6wsjnbanfqasnmgkcuyj"],"priority":1,"ratePerS":121,"burst":121}},"#;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let root = std::env::args().nth(2).unwrap_or_else(|| ".".into());
    let record = Record::create(Path::new(&folder));
    let code = run(Path::new(&root), &record);
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}

fn run(root: &Path, record: &Record) -> i32 {
    let drops_tenants = fleet::has_trouble();
    let mut fleet = Fleet::new(root, record);
    let control = fleet.start_control(3);
    let nodes = [
        fleet.start_node(50, "guiones"),
        fleet.start_node(51, "guiones"),
    ];
    fleet::put_configuration(&control, &configuration(1, 0, "5", TENANTS), record);
    nodes.iter().for_each(|node| fleet::wait_ready(node));
    for node in &nodes {
        Instance::start(node, "guiones", record, |_: &Message| {
            Action::Answer(Duration::from_millis(10))
        });
    }
    thread::sleep(Duration::from_secs(4));
    let before = refused(&nodes, Some(fleet::KEY), record);
    let (tenants, key) = if drops_tenants {
        ("", None)
    } else {
        (TENANTS, Some(fleet::KEY))
    };
    fleet::put_configuration(&control, &configuration(2, 1, "4", tenants), record);
    thread::sleep(CONFIG_APPLY);
    let after = refused(&nodes, key, record);
    let text = format!(
        "under r1 {before} of {REQUESTS} requests were refused with 401, 403 or 404; under r2 \
         {after} (allowed: {ALLOWED})"
    );
    record.line(&text);
    println!("{text}");
    i32::from(after > ALLOWED)
}

/// Sends requests to all nodes in turn, and counts those that are refused with 401, 403 or 404.
fn refused(nodes: &[String], key: Option<&str>, record: &Record) -> usize {
    let mut refused = 0;
    for index in 0..REQUESTS {
        let path = format!("/leny950/{index}");
        let attempt = Attempt {
            method: "GET",
            path: &path,
            key,
            deadline: Duration::from_secs(3),
            body: b"",
        };
        let id = fleet::new_id();
        let answer = fleet::attempt(&nodes[index % nodes.len()], &id, &attempt);
        let kind = if key.is_some() { "with" } else { "without" };
        let text = fleet::describe(&answer);
        record.line(&format!(
            "client: GET {path} {kind} key, attempt {id} -> {text}"
        ));
        let status = answer.map_or(0, |answer| answer.status());
        refused += usize::from(matches!(status, 401 | 403 | 404));
        thread::sleep(Duration::from_millis(10));
    }
    refused
}
