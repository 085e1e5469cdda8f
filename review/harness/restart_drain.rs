//! DRAIN: a node that starts again after it has acknowledged that its instance is gone takes a
//! late earlier heartbeat of it for news.

#[path = "harness.rs"]
mod harness;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

use harness::*;

const HOST: &str = "shop.example";
const KEY: &str = "6wsjnbanfqasnmgkcuyj";
/// `drainS` and `touchS` of the deployment.
const DRAIN: f64 = 2.0;
const TOUCH: f64 = 3.0;
/// How late the heartbeat is that was sent before the instance left.
const LATE: f64 = 2.0;
/// The instance goes on serving for this time after the acknowledgement.
const STAYS: f64 = 7.0;

fn main() {
    let fleet = Fleet::begin(&std::env::args().nth(1).unwrap(), 3);
    let control: Vec<_> = (0..3).map(|index| fleet.control(index)).collect();
    let entry = fleet.node(1, "front");
    let leaving = fleet.node(0, "orders");
    let staying = fleet.node(2, "orders");
    let stop = Arc::new(AtomicBool::new(false));
    let stop_leaving = Arc::new(AtomicBool::new(false));
    for machine in control.iter().chain([&entry, &leaving, &staying]) {
        machine.start();
    }
    Instance::start(&entry, "i-front", 10, 10).keep_beating(&entry, &stop);
    let other = Instance::start(&staying, "i-stays", 77, 120);
    other.keep_beating(&staying, &stop);
    let instance = Instance::start(&leaving, "i-leaves", 77, 120);
    instance.keep_beating(&leaving, &stop_leaving);
    let configuration = format!(
        r#"{{"version":"r7","baseVersion":"r0","routes":{{"r-order":{{"host":"{HOST}","pathPrefix":"/order/","type":"unsafe","timeoutS":6,"targetLatencyS":1.5,"priority":0,"service":"orders","maxAttempts":2,"allowAnonymous":false}}}},"services":{{"orders":{{"healthCheckPath":"/health","maxConnections":562,"protocol":"h1","tls":false}},"front":{{"healthCheckPath":"/health","maxConnections":562,"protocol":"h1","tls":false}}}},"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}},"tenants":{{"pulo780":{{"apiKeys":["{KEY}"],"priority":1,"ratePerS":1000,"burst":1000}}}}}}"#
    );
    let accepted = order(&fleet, &configuration, 10.0);
    if accepted.map(|answer| answer.status()) != Some(200) {
        say("the first configuration was not acknowledged");
        finish(&fleet, NOT_RUN);
    }
    if ![&entry, &leaving, &staying].iter().all(|machine| machine.wait_ready(10.0)) {
        say("a node did not become ready");
        finish(&fleet, NOT_RUN);
    }
    {
        let (entry, stop) = (Arc::clone(&entry), Arc::clone(&stop));
        thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let entry = Arc::clone(&entry);
                thread::spawn(move || drop(request(&entry, "POST", HOST, "/order/2f", Some(KEY), 6000)));
                sleep(0.05);
            }
        });
    }
    sleep(5.0);
    let before = instance.runs.lock().unwrap().len();
    say(&format!("requests run by the instance so far: {before}"));
    if before < 10 {
        finish(&fleet, NOT_RUN);
    }
    // The last heartbeat is sent, but arrives late.
    stop_leaving.store(true, Ordering::SeqCst);
    sleep(0.1);
    let late = instance.next_sequence();
    say(&format!("heartbeat {late} is sent, and will arrive {LATE} s late"));
    let sent = now();
    sleep(0.1);
    // The instance leaves without a word of draining before.
    if !instance.withdraw(&leaving) {
        say("the node did not acknowledge the withdrawal");
        finish(&fleet, NOT_RUN);
    }
    let acknowledged = now();
    let mut started = acknowledged;
    if trouble() {
        say("the node beside the instance is killed");
        leaving.kill();
        sleep(0.3);
        leaving.start();
        started = now();
        say("it starts again");
    }
    sleep((sent + LATE - now()).max(0.0));
    instance.beat(&leaving, "ready", late);
    let rest = acknowledged + STAYS - now();
    sleep(rest.max(0.0));
    instance.gone.store(true, Ordering::SeqCst);
    let ended = now();
    sleep(0.5);
    stop.store(true, Ordering::SeqCst);
    let from = (acknowledged + DRAIN).max(started + TOUCH);
    let runs = instance.runs.lock().unwrap().clone();
    // The client sends 50 ms apart and is answered by machines that are in touch from here on.
    let late_runs = runs.iter().filter(|(at, _)| *at > from + 0.2 && *at < ended).count();
    let lost = read_file(&fleet.record()).lines().filter(|line| line.contains("leaves") && line.contains("unanswered")).count();
    say(&format!("orders at which the instance was at work when it exited: {lost}"));
    say(&format!(
        "acknowledged at {acknowledged:.3}; requests that reached the instance from {:.3} on: {late_runs}",
        from + 0.2
    ));
    finish(&fleet, if late_runs > 0 { BROKEN } else { HELD });
}
