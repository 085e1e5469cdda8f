//! What the cases with requests that crash instances share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{self, Attempt, Record};

/// Time after which a crashed instance is back.
pub const DOWN: Duration = Duration::from_secs(3);
/// `touchS` of the deployment.
pub const TOUCH: Duration = Duration::from_secs(3);
/// Retries that the rule allows later than `touchS` after the third crash.
pub const ALLOWED: usize = 3;

/// The attempts of the deadly request, and the crashes under them.
#[derive(Clone, Default)]
pub struct Deadly {
    sent: Arc<Mutex<HashMap<String, Instant>>>,
    crashes: Arc<Mutex<Vec<(String, Instant)>>>,
}

impl Deadly {
    /// Makes an attempt at a node and records its answer.
    pub fn attempt(&self, node: &str, attempt: &Attempt<'_>, record: &Record) {
        let id = fleet::new_id();
        self.sent.lock().unwrap().insert(id.clone(), Instant::now());
        let answer = fleet::describe(&fleet::attempt(node, &id, attempt));
        record.line(&format!(
            "client: {} {} attempt {id} -> {answer}",
            attempt.method, attempt.path
        ));
    }

    /// Records that an attempt has crashed an instance.
    pub fn crashed(&self, id: &str) {
        self.crashes
            .lock()
            .unwrap()
            .push((id.into(), Instant::now()));
    }

    /// Number of crashes.
    pub fn crash_count(&self) -> usize {
        self.crashes.lock().unwrap().len()
    }

    /// Attempts that were sent later than `touchS` after the third crash and have crashed an
    /// instance. One attempt counts once.
    pub fn late_retries(&self) -> usize {
        let crashes = self.crashes.lock().unwrap();
        let sent = self.sent.lock().unwrap();
        let Some((_, third)) = crashes.get(2) else {
            return 0;
        };
        let mut late: Vec<_> = crashes
            .iter()
            .map(|(id, _)| id)
            .filter(|id| sent.get(*id).is_some_and(|sent| *sent > *third + TOUCH))
            .collect();
        late.sort_unstable();
        late.dedup();
        late.len()
    }
}

/// Clients with other requests, each of which may run once.
pub struct Others {
    stop: Arc<AtomicBool>,
    lost: Arc<AtomicU64>,
}

impl Others {
    /// Starts this many clients, at all nodes in turn, with requests below these prefixes.
    pub fn start(
        nodes: &[String],
        clients: usize,
        prefixes: &'static [&'static str],
        record: &Record,
    ) -> Self {
        let others = Self {
            stop: Arc::default(),
            lost: Arc::default(),
        };
        for index in 0..clients {
            let node = &nodes[index % nodes.len()];
            let (stop, lost) = (Arc::clone(&others.stop), Arc::clone(&others.lost));
            let (node, record) = (node.clone(), record.clone());
            thread::spawn(move || {
                // The clients are out of step with each other.
                thread::sleep(Duration::from_millis(37 * index as u64));
                let mut count = 0;
                while !stop.load(Ordering::Relaxed) {
                    count += 1;
                    let prefix = prefixes[(count + index) % prefixes.len()];
                    let path = format!("{prefix}{index}-{count}");
                    let attempt = Attempt {
                        method: "POST",
                        path: &path,
                        key: Some(fleet::KEY),
                        deadline: Duration::from_secs(3),
                        body: b"x",
                    };
                    let id = fleet::new_id();
                    let answer = fleet::attempt(&node, &id, &attempt);
                    let is_lost = answer
                        .as_ref()
                        .map_or(true, |answer| answer.status() == 502);
                    if is_lost {
                        lost.fetch_add(1, Ordering::Relaxed);
                        let answer = fleet::describe(&answer);
                        record.line(&format!("client: POST {path} attempt {id} -> {answer}"));
                    }
                    thread::sleep(Duration::from_millis(50));
                }
            });
        }
        others
    }

    /// Ends the clients. Returns how many requests got no answer, or 502.
    pub fn stop(&self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_secs(1));
        self.lost.load(Ordering::Relaxed)
    }
}
