//! An order that the operator was refused arrives once more, late, and comes into force.

#[path = "fleet.rs"]
mod fleet;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use fleet::{Action, Attempt, Fleet, Instance, Message, Record};

/// Time for which a caller waits for a response.
const PATIENCE: Duration = Duration::from_secs(1);
/// When the packets of the two delayed connections get through, by retransmission.
const DELAY: Duration = Duration::from_millis(1800);
/// `configApplyS` of the deployment.
const CONFIG_APPLY: Duration = Duration::from_secs(2);
/// Requests that show which configuration is in force.
const PROBES: usize = 20;

/// A configuration with this version on top of another one. It sends `/puka111/` to `service`.
fn configuration(version: u32, base: u32, service: &str, timeout: &str) -> String {
    format!(
        r#"{{"version":"r{version}","routes":{{"alert":{{"host":"hulo84.example","pathPrefix":"/puka111/","type":"unsafe","timeoutS":{timeout},"targetLatencyS":1.5,"priority":0,"service":"{service}","maxAttempts":2,"allowAnonymous":false}}}},"services":{{"alertas":{{"healthCheckPath":"/health","maxConnections":532,"protocol":"h1","tls":false}},"guiones":{{"healthCheckPath":"/health","maxConnections":532,"protocol":"h1","tls":false}}}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}},"tenants":{{"pulo780":{{"apiKeys":["6wsjnbanfqasnmgkcuyj"],"priority":1,"ratePerS":121,"burst":121}}}},"baseVersion":"r{base}"}}"#
    )
}

fn main() {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".into());
    let root = std::env::args().nth(2).unwrap_or_else(|| ".".into());
    let record = Record::create(Path::new(&folder));
    let code = run(Path::new(&root), &record);
    record.line(&format!("exit {code}"));
    std::process::exit(code);
}

fn run(root: &Path, record: &Record) -> i32 {
    let is_lossy = fleet::has_trouble();
    let mut fleet = Fleet::new(root, record);
    let control = fleet.start_control(3);
    let nodes = [
        fleet.start_node(50, "alertas"),
        fleet.start_node(51, "guiones"),
    ];
    let first = configuration(1, 0, "alertas", "5");
    fleet::put_configuration(&control, &first, record);
    nodes.iter().for_each(|node| fleet::wait_ready(node));
    let instances = [
        Instance::start(&nodes[0], "alertas", record, answer),
        Instance::start(&nodes[1], "guiones", record, answer),
    ];
    thread::sleep(Duration::from_secs(4));
    let Some(leader) = control.iter().find(|ip| acknowledges(ip, &first)) else {
        fleet::cannot_run("no control process leads");
    };
    let others: Vec<&String> = control.iter().filter(|ip| *ip != leader).collect();

    // Two orders are in progress at once; the second builds on the first.
    let second = order(
        record,
        "r2",
        configuration(2, 1, "alertas", "4"),
        leader,
        others[0],
        is_lossy,
        300,
    );
    thread::sleep(Duration::from_millis(50));
    let third = order(
        record,
        "r3",
        configuration(3, 2, "guiones", "4"),
        leader,
        others[1],
        is_lossy,
        100,
    );
    let (second, third) = (second.join().unwrap(), third.join().unwrap());
    thread::sleep(DELAY + CONFIG_APPLY);

    let in_force = read(leader);
    record.line(&format!("operator: GET /-/config -> {in_force}"));
    let before = instances[1].run_count();
    for index in 0..PROBES {
        let path = format!("/puka111/{index}");
        let attempt = Attempt {
            method: "POST",
            path: &path,
            key: Some(fleet::KEY),
            deadline: Duration::from_secs(3),
            body: b"x",
        };
        let id = fleet::new_id();
        let answer = fleet::attempt(&nodes[index % 2], &id, &attempt);
        record.line(&format!(
            "client: POST {path} attempt {id} -> {}",
            fleet::describe(&answer)
        ));
    }
    let moved = instances[1].run_count() - before;
    let is_refused = third == 412;
    let is_broken = is_refused && (in_force == "r3" || moved > 0);
    let text = format!(
        "r2 was answered {second}, r3 was answered {third}; {in_force} is in force; {moved} of \
         {PROBES} requests ran at the service that only r3 names"
    );
    record.line(&text);
    println!("{text}");
    i32::from(is_broken)
}

fn answer(_: &Message) -> Action {
    Action::Answer(Duration::from_millis(20))
}

/// Sends an order as the platform's callers do, until it has a clear answer, and returns the
/// status of that. The first try goes to the leader, and its connection may be delayed.
fn order(
    record: &Record,
    name: &'static str,
    text: String,
    leader: &str,
    other: &str,
    is_delayed: bool,
    mut backoff_ms: u64,
) -> thread::JoinHandle<u16> {
    let (record, leader, other) = (record.clone(), leader.to_owned(), other.to_owned());
    let mut address = format!("{leader}:8540");
    if is_delayed {
        address = delayed(&record, name, &address);
    }
    thread::spawn(move || {
        loop {
            let status = put(&record, name, &address, &text);
            if matches!(status, 200 | 400 | 409 | 412 | 413 | 422) {
                return status;
            }
            thread::sleep(Duration::from_millis(backoff_ms));
            backoff_ms *= 2;
            address = format!("{other}:8540");
        }
    })
}

/// One call of the operator, which follows two redirects. Returns the status, or 0.
fn put(record: &Record, name: &str, address: &str, text: &str) -> u16 {
    let mut address = address.to_owned();
    for _ in 0..3 {
        let head = "PUT /-/config HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n";
        let answer = fleet::exchange(&address, head, text.as_bytes(), PATIENCE);
        let text = fleet::describe(&answer);
        record.line(&format!("operator: PUT {name} to {address} -> {text}"));
        let Ok(answer) = answer else { return 0 };
        if answer.status() != 307 {
            return answer.status();
        }
        let location = answer.field("location").unwrap_or_default();
        address = location.split('/').nth(2).unwrap_or_default().to_owned();
    }
    0
}

/// Opens a port that passes one connection on to `target`, with what is sent delayed as by
/// lost packets. Returns the address of the port.
fn delayed(record: &Record, name: &'static str, target: &str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0");
    let listener = listener.unwrap_or_else(|error| fleet::cannot_run(&error.to_string()));
    let address = listener.local_addr().unwrap().to_string();
    let (record, target) = (record.clone(), target.to_owned());
    thread::spawn(move || {
        let Ok((mut sender, _)) = listener.accept() else {
            return;
        };
        let opened = Instant::now();
        let mut bytes = Vec::new();
        let _ = sender.read_to_end(&mut bytes);
        thread::sleep(DELAY.saturating_sub(opened.elapsed()));
        record.line(&format!(
            "link: the delayed bytes of the first PUT {name} arrive at {target}"
        ));
        if let Ok(mut receiver) = fleet::connect(&target, PATIENCE) {
            let _ = receiver.write_all(&bytes);
            let _ = receiver.shutdown(Shutdown::Write);
            let _ = receiver.read_to_end(&mut Vec::new());
        }
    });
    address
}

/// Whether a control process acknowledges the present configuration once more itself.
fn acknowledges(ip: &str, text: &str) -> bool {
    let head = "PUT /-/config HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n";
    let answer = fleet::exchange(&format!("{ip}:8540"), head, text.as_bytes(), PATIENCE);
    answer.is_ok_and(|answer| answer.status() == 200)
}

/// The version that the leader reads back.
fn read(leader: &str) -> String {
    let head = "GET /-/config HTTP/1.1\r\nHost: control\r\n";
    let answer = fleet::exchange(&format!("{leader}:8540"), head, b"", PATIENCE);
    let body = answer.map(|answer| answer.body).unwrap_or_default();
    let text = String::from_utf8_lossy(&body).into_owned();
    let version = text.split("\"version\":\"").nth(1);
    version
        .and_then(|rest| rest.split('"').next())
        .unwrap_or("none")
        .to_owned()
}
