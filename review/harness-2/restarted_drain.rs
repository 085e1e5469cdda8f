//! An instance starts again after the time of day has jumped back, and is then drained.

#[path = "fleet.rs"]
mod fleet;

use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fleet::{Action, Attempt, Fleet, Instance, Message, Record};

/// By how much the time of day is ahead until it jumps back.
const STEP: Duration = Duration::from_millis(2400);
/// Instances of the service, of which one crashes: less than a share of .15.
const INSTANCES: u8 = 8;
/// `drainS` and `touchS` of the deployment.
const DRAIN: Duration = Duration::from_secs(2);
const TOUCH: Duration = Duration::from_secs(3);
/// Time for which the crashed instance is down.
const DOWN: Duration = Duration::from_millis(500);

const CONFIGURATION: &str = r#"{"version":"r1","routes":{
"script":{"host":"hulo84.example","pathPrefix":"/leny950/","type":"safe","timeoutS":5,"targetLatencyS":1.5,"priority":2,"service":"guiones","maxAttempts":2,"allowAnonymous":false}},
"services":{"guiones":{"healthCheckPath":"/health","maxConnections":532,"protocol":"h1","tls":false}},
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
    let step = if fleet::has_trouble() {
        STEP
    } else {
        Duration::ZERO
    };
    let mut fleet = Fleet::new(root, record);
    let control = fleet.start_control(3);
    let nodes: Vec<String> = (50..50 + INSTANCES)
        .map(|machine| fleet.start_node(machine, "guiones"))
        .collect();
    fleet::put_configuration(&control, CONFIGURATION, record);
    nodes.iter().for_each(|node| fleet::wait_ready(node));
    let work = |_: &Message| Action::Answer(Duration::from_millis(20));
    for node in &nodes[1..] {
        Instance::start(node, "guiones", record, work);
    }
    thread::sleep(Duration::from_secs(4));

    // Attempts that the instance runs, with the time at which their client sent them.
    let sent = Arc::new(Mutex::new(
        std::collections::HashMap::<String, Instant>::new(),
    ));
    let reached = Arc::new(Mutex::new(Vec::<(Instant, Instant)>::new()));
    let (known, runs) = (Arc::clone(&sent), Arc::clone(&reached));
    let instance = Instance::start_with(
        &nodes[0],
        "guiones",
        Some("i-7f3a91c2"),
        step,
        record,
        move |request: &Message| {
            let id = request.field("x-attempt-id").unwrap_or_default();
            if let Some(at) = known.lock().unwrap().get(id) {
                runs.lock().unwrap().push((*at, Instant::now()));
            }
            Action::Answer(Duration::from_millis(20))
        },
    );
    // Clients at the machines that nothing disturbs.
    let clients: Vec<_> = (0..16)
        .map(|client| {
            let (sent, node, record) = (
                Arc::clone(&sent),
                nodes[1 + client % (nodes.len() - 1)].clone(),
                record.clone(),
            );
            thread::spawn(move || {
                for index in 0..180 {
                    let path = format!("/leny950/{client}-{index}");
                    let attempt = Attempt {
                        method: "GET",
                        path: &path,
                        key: Some(fleet::KEY),
                        deadline: Duration::from_secs(3),
                        body: b"",
                    };
                    let id = fleet::new_id();
                    sent.lock().unwrap().insert(id.clone(), Instant::now());
                    let answer = fleet::describe(&fleet::attempt(&node, &id, &attempt));
                    record.line(&format!("client: GET {path} attempt {id} -> {answer}"));
                    thread::sleep(Duration::from_millis(30));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(900));
    instance.set_clock_ahead(Duration::ZERO);
    let stepped = Instant::now();
    thread::sleep(Duration::from_millis(200));
    instance.crash(DOWN);
    thread::sleep(DOWN + Duration::from_millis(300));
    let is_acknowledged = instance.drain();
    let acknowledged = Instant::now();
    record.line(&format!("the drain is acknowledged: {is_acknowledged}"));
    for client in clients {
        let _ = client.join();
    }
    let from = (acknowledged + DRAIN).max(stepped + TOUCH);
    let reached = reached.lock().unwrap();
    let late = reached.iter().filter(|(sent, _)| *sent > from).count();
    let text = format!(
        "drain acknowledged: {is_acknowledged}; {} requests reached the instance, {late} of them sent \
         later than drainS after that, and touchS after the clock step",
        reached.len()
    );
    record.line(&text);
    println!("{text}");
    i32::from(is_acknowledged && late > 0)
}
