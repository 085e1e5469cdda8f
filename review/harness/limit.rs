//! LIMIT (no case, see REPORT.md): a node beside an instance that names a `Server-Limit` is killed and starts again.

#[path = "harness.rs"]
mod harness;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use harness::*;

const HOST: &str = "shop.example";
const KEY: &str = "6wsjnbanfqasnmgkcuyj";
/// Machines where requests begin.
const ENTRIES: usize = 2;
/// Requests a second from the clients of each of them.
const PER_ENTRY: f64 = 75.0;
/// `Server-Limit` that the instance names, in requests a second.
const LIMIT: f64 = 2.0;
const SLOTS: usize = 77;
const WORK_MS: u64 = 300;
/// `touchS` of the deployment.
const TOUCH: f64 = 3.0;
/// The window of the rule.
const WINDOW: f64 = 4.0;

fn main() {
    let fleet = Fleet::begin(&std::env::args().nth(1).unwrap(), 3);
    let control: Vec<_> = (0..3).map(|index| fleet.control(index)).collect();
    let entries: Vec<_> = (1..=ENTRIES).map(|index| fleet.node(index, "front")).collect();
    let target = fleet.node(0, "catalogue");
    let stop = Arc::new(AtomicBool::new(false));
    for machine in control.iter().chain(&entries) {
        machine.start();
    }
    target.start();
    for (index, machine) in entries.iter().enumerate() {
        let idle = Instance::start(machine, &format!("i-front{index}"), 10, 10);
        idle.keep_beating(machine, &stop);
    }
    let instance = Instance::start(&target, "i-7f3a91c2", SLOTS, WORK_MS);
    instance.keep_beating(&target, &stop);
    let configuration = format!(
        r#"{{"version":"r7","baseVersion":"r0","routes":{{"r-browse":{{"host":"{HOST}","pathPrefix":"/browse/","type":"safe","timeoutS":6,"targetLatencyS":1.5,"priority":2,"service":"catalogue","maxAttempts":2,"allowAnonymous":false}}}},"services":{{"catalogue":{{"healthCheckPath":"/health","maxConnections":562,"protocol":"h1","tls":false}},"front":{{"healthCheckPath":"/health","maxConnections":562,"protocol":"h1","tls":false}}}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}},"tenants":{{"pulo780":{{"apiKeys":["{KEY}"],"priority":1,"ratePerS":1000,"burst":1000}}}}}}"#
    );
    let accepted = order(&fleet, &configuration, 10.0);
    if accepted.map(|answer| answer.status()) != Some(200) {
        say("the first configuration was not acknowledged");
        finish(&fleet, NOT_RUN);
    }
    if !entries.iter().chain([&target]).all(|machine| machine.wait_ready(10.0)) {
        say("a node did not become ready");
        finish(&fleet, NOT_RUN);
    }
    // Clients send at a steady pace and do not retry.
    for machine in &entries {
        let (machine, stop) = (Arc::clone(machine), Arc::clone(&stop));
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let machine = Arc::clone(&machine);
                thread::spawn(move || {
                    let (_, answer) = request(&machine, "GET", HOST, "/browse/2f", Some(KEY), 6000);
                    drop(answer);
                });
                thread::sleep(Duration::from_secs_f64(1.0 / PER_ENTRY));
            }
        });
    }
    sleep(4.0);
    let served = instance.runs.lock().unwrap().len();
    say(&format!("requests run so far: {served}"));
    if served < 20 {
        finish(&fleet, NOT_RUN);
    }
    *instance.limit.lock().unwrap() = Some(LIMIT);
    let named = now();
    say(&format!("the instance names Server-Limit {LIMIT} from now on"));
    sleep(TOUCH + 6.0);
    if trouble() {
        say("the node beside the instance is killed");
        target.kill();
        sleep(0.5);
        target.start();
        say("it starts again");
    }
    sleep(12.0);
    stop.store(true, Ordering::SeqCst);
    // All entry machines have passed on an answer with the limit long before `touchS` is
    // over; none of them is disturbed.
    let runs = instance.runs.lock().unwrap().clone();
    let judged: Vec<f64> = runs.iter().map(|(at, _)| *at).filter(|at| *at >= named + TOUCH).collect();
    let allowed = 1.5 * LIMIT * WINDOW + 5.0;
    let mut worst = (0, 0.0);
    for (index, from) in judged.iter().enumerate() {
        let count = judged[index..].iter().filter(|at| **at < from + WINDOW).count();
        if count > worst.0 {
            worst = (count, *from);
        }
    }
    say(&format!("most requests in {WINDOW} s: {} from {:.3}; allowed: {allowed}", worst.0, worst.1));
    finish(&fleet, if worst.0 as f64 > allowed { BROKEN } else { HELD });
}
