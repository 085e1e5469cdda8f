//! A request that crashes instances comes again while the instances refuse part of what they
//! get.

#[path = "fleet.rs"]
mod fleet;

#[path = "deadly.rs"]
mod deadly;

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use deadly::{ALLOWED, DOWN, Deadly, Others};
use fleet::{Action, Attempt, Fleet, Instance, Message, Record};

/// Paths of the requests that crash instances.
const DEADLY: [&str; 4] = [
    "/leny950/semana",
    "/leny950/feriado",
    "/leny950/relevo",
    "/leny950/noche",
];
/// Time between two attempts with the same of these requests.
const PAUSE: Duration = Duration::from_millis(4000);
/// Longest time for which the clients repeat the requests.
const LIMIT: Duration = Duration::from_secs(92);
/// How long the instances refuse requests, and the pause before they do so again.
const SHEDDING: Duration = Duration::from_millis(8500);
const RELIEF: Duration = Duration::from_millis(500);
/// Share of the requests that they refuse meanwhile, in percent.
const SHED_PERCENT: u64 = 55;

const CONFIGURATION: &str = r#"{"version":"r1","routes":{
"schedule":{"host":"hulo84.example","pathPrefix":"/leny950/","type":"safe","timeoutS":6,"targetLatencyS":1.5,"priority":2,"service":"parrilla","maxAttempts":2,"allowAnonymous":false},
"other":{"host":"hulo84.example","pathPrefix":"/o/","type":"unsafe","timeoutS":5,"targetLatencyS":1.5,"priority":1,"service":"parrilla","maxAttempts":2,"allowAnonymous":false}},
"services":{"parrilla":{"healthCheckPath":"/health","maxConnections":196,"protocol":"h1","tls":false}},
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
    let sheds = fleet::has_trouble();
    let mut fleet = Fleet::new(root, record);
    let control = fleet.start_control(3);
    let nodes: Vec<String> = (50..56)
        .map(|machine| fleet.start_node(machine, "parrilla"))
        .collect();
    fleet::put_configuration(&control, CONFIGURATION, record);
    nodes.iter().for_each(|node| fleet::wait_ready(node));
    let deadly: [Deadly; 4] = std::array::from_fn(|_| Deadly::default());
    let begun = Instant::now() + Duration::from_secs(4);
    for node in &nodes {
        let deadly = deadly.clone();
        Instance::start(node, "parrilla", record, move |request: &Message| {
            if sheds && is_shedding(begun) && fleet::random() % 100 < SHED_PERCENT {
                return Action::Refuse;
            }
            let mut paths = DEADLY.iter();
            let Some(index) = paths.position(|path| request.first_line.contains(path)) else {
                return Action::Answer(Duration::from_millis(400));
            };
            deadly[index].crashed(request.field("x-attempt-id").unwrap_or_default());
            Action::Crash(DOWN)
        });
    }
    thread::sleep(begun.saturating_duration_since(Instant::now()));
    let others = Others::start(&nodes, 6, &["/o/"], record);
    let most = || deadly.iter().map(Deadly::late_retries).max().unwrap_or(0);
    let mut count = 0;
    while begun.elapsed() < LIMIT && most() <= ALLOWED {
        let index = count % DEADLY.len();
        let attempt = Attempt {
            method: "GET",
            path: DEADLY[index],
            key: Some(fleet::KEY),
            deadline: Duration::from_secs(6),
            body: b"",
        };
        count += 1;
        deadly[index].attempt(&nodes[count % nodes.len()], &attempt, record);
        thread::sleep(PAUSE / 4);
    }
    let lost = others.stop();
    for (path, deadly) in DEADLY.iter().zip(&deadly) {
        let (crashed, retries) = (deadly.crash_count(), deadly.late_retries());
        let text = format!(
            "{path}: {crashed} instances crashed; {retries} retries crashed instances later than \
             touchS after the third crash (allowed: {ALLOWED})"
        );
        record.line(&text);
        println!("{text}");
    }
    let text = format!("{lost} other requests lost their answer");
    record.line(&text);
    println!("{text}");
    i32::from(most() > ALLOWED)
}

/// Whether the instances refuse part of their requests now.
fn is_shedding(begun: Instant) -> bool {
    let Some(since) = Instant::now().checked_duration_since(begun) else {
        return false;
    };
    let period = (SHEDDING + RELIEF).as_millis();
    since.as_millis() % period < SHEDDING.as_millis()
}
