//! A request that crashes instances comes again after all nodes of the service were killed.
//! No case; see REPORT-2.md.

#[path = "fleet.rs"]
mod fleet;

#[path = "deadly.rs"]
mod deadly;

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use deadly::{ALLOWED, DOWN, Deadly, Others, TOUCH};
use fleet::{Action, Attempt, Fleet, Instance, Message, Record};

/// Path of the request that crashes instances.
const DEADLY: &str = "/puka111/feria";
/// Time between two attempts of the client with the deadly request.
const PAUSE: Duration = Duration::from_millis(3200);
/// Longest time for which the client repeats the request.
const LIMIT: Duration = Duration::from_secs(100);
/// How often all nodes of the service are killed.
const KILLS: usize = 2;
const CONFIGURATION: &str = r#"{"version":"r1","routes":{
"alert":{"host":"hulo84.example","pathPrefix":"/puka111/","type":"unsafe","timeoutS":5,"targetLatencyS":1.5,"priority":0,"service":"alertas","maxAttempts":2,"allowAnonymous":false},
"other-a":{"host":"hulo84.example","pathPrefix":"/a/","type":"unsafe","timeoutS":5,"targetLatencyS":1.5,"priority":1,"service":"alertas","maxAttempts":2,"allowAnonymous":false},
"other-g":{"host":"hulo84.example","pathPrefix":"/g/","type":"unsafe","timeoutS":5,"targetLatencyS":1.5,"priority":1,"service":"guiones","maxAttempts":2,"allowAnonymous":false}},
"services":{"alertas":{"healthCheckPath":"/health","maxConnections":532,"protocol":"h1","tls":false},"guiones":{"healthCheckPath":"/health","maxConnections":532,"protocol":"h1","tls":false}},
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},
"tenants":{"pulo780":{"apiKeys":["6wsjnbanfqasnmgkcuyj"],"priority":1,"ratePerS":500,"burst":500}},"baseVersion":"r0"}"#;

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let root = std::env::args().nth(2).unwrap_or_else(|| ".".into());
    let record = Record::create(Path::new(&folder));
    let code = run(Path::new(&root), &record);
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}

fn run(root: &Path, record: &Record) -> i32 {
    let is_killed = fleet::has_trouble();
    let mut fleet = Fleet::new(root, record);
    let control = fleet.start_control(3);
    let services = ["alertas", "alertas", "alertas", "guiones"];
    let machines: Vec<u8> = (50..).take(services.len()).collect();
    let nodes: Vec<String> = machines
        .iter()
        .zip(services)
        .map(|(machine, service)| fleet.start_node(*machine, service))
        .collect();
    fleet::put_configuration(&control, CONFIGURATION, record);
    nodes.iter().for_each(|node| fleet::wait_ready(node));
    let deadly = Deadly::default();
    for (node, service) in nodes.iter().zip(services) {
        let deadly = deadly.clone();
        Instance::start(node, service, record, move |request: &Message| {
            if !request.first_line.contains(DEADLY) {
                return Action::Answer(Duration::from_millis(400));
            }
            deadly.crashed(request.field("x-attempt-id").unwrap_or_default());
            Action::Crash(DOWN)
        });
    }
    thread::sleep(Duration::from_secs(4));
    let others = Others::start(&nodes, 24, &["/a/", "/g/"], record);
    let begun = Instant::now();
    let mut kills = 0;
    while begun.elapsed() < LIMIT && deadly.late_retries() <= ALLOWED {
        let attempt = Attempt {
            method: "POST",
            path: DEADLY,
            key: Some(fleet::KEY),
            deadline: Duration::from_secs(3),
            body: b"incendio forestal",
        };
        // The client's node is not killed.
        deadly.attempt(&nodes[3], &attempt, record);
        if is_killed && kills < KILLS && deadly.crash_count() >= 3 * (kills + 1) {
            kills += 1;
            restart_at_once(&mut fleet, &machines[..3]);
        }
        thread::sleep(PAUSE);
    }
    let lost = others.stop();
    let (crashed, retries) = (deadly.crash_count(), deadly.late_retries());
    let text = format!(
        "{crashed} instances crashed; {retries} retries crashed instances later than touchS after \
         the third crash (allowed: {ALLOWED}); {lost} other requests lost their answer"
    );
    record.line(&text);
    println!("{text}");
    i32::from(retries > ALLOWED)
}

/// Kills these nodes and starts them again. Returns when they are in touch.
fn restart_at_once(fleet: &mut Fleet, machines: &[u8]) {
    let names: Vec<String> = machines
        .iter()
        .map(|machine| Fleet::node_name(*machine))
        .collect();
    // Crashed instances are back, and each node knows of the crashes.
    thread::sleep(DOWN + Duration::from_secs(1));
    names.iter().for_each(|name| fleet.signal(name, "KILL"));
    thread::sleep(Duration::from_millis(1500));
    for name in &names {
        let _ = fleet.has_ended(name);
        fleet.start(name, "node");
    }
    thread::sleep(2 * TOUCH);
}
