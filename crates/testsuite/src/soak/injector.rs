//! Injects random faults.

use std::time::{Duration, Instant};

use fastrand::Rng;
use masticarch_load::fleet;
use masticarch_load::standin::behaviour;

use super::{history, mode, repair, sample, statement};

/// Range of the time between two faults, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..900;
/// Range of the time for which a process is down or frozen, in milliseconds.
const OUTAGE_MS: std::ops::Range<u64> = 200..1_600;
/// Range of the rate limits that targets state, in requests per second.
const RATE_LIMIT: std::ops::Range<u32> = 5..20;
/// Time for which a target states that it leaves, before its next run begins.
const LEAVING_TIME: Duration = Duration::from_secs(4);
/// Longest time that a process takes to stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(12);

/// Injects faults into a fleet.
pub struct Injector {
    rng: Rng,
    mode: mode::Mode,
    history: history::History,
    repairs: Vec<(Instant, repair::Repair)>,
    runs: u64,
}

impl Injector {
    /// An injector whose faults are drawn from a seed.
    #[must_use]
    pub fn new(seed: u64, mode: mode::Mode) -> Self {
        Self {
            rng: Rng::with_seed(seed),
            mode,
            history: history::History::default(),
            repairs: Vec::new(),
            runs: 0,
        }
    }

    /// Injects faults for this time, repairs what is left, and returns what happened.
    ///
    /// # Panics
    /// When a process cannot be signalled or does not stop.
    pub async fn run(mut self, fleet: &mut fleet::Fleet, time: Duration) -> history::History {
        let end = Instant::now() + time;
        let mut next = Instant::now();
        while Instant::now() < end || !self.repairs.is_empty() {
            self.repair_due(fleet).await;
            self.sample(fleet).await;
            if next <= Instant::now() && Instant::now() < end {
                self.inject(fleet).await;
                next = Instant::now() + self.draw(PAUSE_MS);
            }
            monoio::time::sleep(Duration::from_millis(20)).await;
        }
        self.history
    }

    async fn sample(&mut self, fleet: &fleet::Fleet) {
        for (node, entry) in fleet.nodes.iter().enumerate() {
            if let Some(target) = &entry.target {
                let executions = target.executions().await.unwrap();
                let samples = self.history.samples.entry(node).or_default();
                samples.push(sample::Sample {
                    at: Instant::now(),
                    total: executions.total,
                    by_entry: executions.by_entry,
                });
            }
        }
    }

    fn draw(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.u64(range))
    }

    fn note(&mut self, step: String) {
        self.history.steps.push(step);
    }

    /// Whether a repair of this node is due later, so that it gets no further fault.
    fn is_faulty(&self, node: usize) -> bool {
        self.repairs.iter().any(|(_, repair)| {
            matches!(repair, repair::Repair::RestartNode(faulty) | repair::Repair::AwaitStop(faulty)
                | repair::Repair::ThawNode(faulty) if *faulty == node)
        })
    }

    async fn inject(&mut self, fleet: &mut fleet::Fleet) {
        let node = self.rng.usize(..fleet.nodes.len());
        let kinds = match self.mode {
            mode::Mode::Planned => 3,
            mode::Mode::Any => 6,
            mode::Mode::Crashes => 7,
        };
        match self.rng.u8(..kinds) {
            0 if !self.is_faulty(node) => self.stop_node(fleet, node),
            1 => self.state_limit(fleet, node).await,
            2 => self.state_leaving(fleet, node).await,
            3 if !self.is_faulty(node) => self.kill_node(fleet, node),
            4 if !self.is_faulty(node) => self.freeze_node(fleet, node),
            5 => self.disturb_control(fleet),
            6 => self.crash_target(fleet, node).await,
            _ => {}
        }
    }

    fn stop_node(&mut self, fleet: &fleet::Fleet, node: usize) {
        self.note(format!("stop node {node}"));
        self.history.outages.push((node, Instant::now()));
        fleet.nodes[node].process.terminate().unwrap();
        let repair = repair::Repair::AwaitStop(node);
        self.repairs.push((Instant::now(), repair));
    }

    fn kill_node(&mut self, fleet: &mut fleet::Fleet, node: usize) {
        self.note(format!("kill node {node}"));
        self.history.outages.push((node, Instant::now()));
        fleet.nodes[node].process.kill().unwrap();
        let at = Instant::now() + self.draw(OUTAGE_MS);
        self.repairs.push((at, repair::Repair::RestartNode(node)));
    }

    fn freeze_node(&mut self, fleet: &fleet::Fleet, node: usize) {
        self.note(format!("freeze node {node}"));
        self.history.outages.push((node, Instant::now()));
        fleet.nodes[node].process.freeze().unwrap();
        let at = Instant::now() + self.draw(OUTAGE_MS);
        self.repairs.push((at, repair::Repair::ThawNode(node)));
    }

    /// Kills or freezes a control process. The group bears the loss of one.
    fn disturb_control(&mut self, fleet: &mut fleet::Fleet) {
        let disturbed = |(_, repair): &(Instant, repair::Repair)| {
            matches!(
                repair,
                repair::Repair::RestartControl(_) | repair::Repair::ThawControl(_)
            )
        };
        if self.repairs.iter().any(disturbed) {
            return;
        }
        let control = self.rng.usize(..fleet.controls.len());
        let at = Instant::now() + self.draw(OUTAGE_MS);
        let process = &mut fleet.controls[control].process;
        let repair = if self.rng.bool() {
            process.kill().unwrap();
            repair::Repair::RestartControl(control)
        } else {
            process.freeze().unwrap();
            repair::Repair::ThawControl(control)
        };
        self.note(format!("{repair:?} later"));
        self.repairs.push((at, repair));
    }

    async fn crash_target(&mut self, fleet: &fleet::Fleet, node: usize) {
        if let Some(target) = &fleet.nodes[node].target {
            self.note(format!("crash target {node}"));
            self.history.crashes += 1;
            target.crash().await.unwrap();
        }
    }

    async fn state_limit(&mut self, fleet: &fleet::Fleet, node: usize) {
        let Some(target) = &fleet.nodes[node].target else {
            return;
        };
        let open = self.history.statements.iter_mut();
        let mut open = open.filter(|open| open.node == node && open.to.is_none());
        let rate_limit = if let Some(statement) = open.next() {
            if statement.rate_limit.is_none() {
                return;
            }
            statement.to = Some(Instant::now());
            f64::INFINITY
        } else {
            let rate = self.rng.u32(RATE_LIMIT);
            self.begin_statement(node, Some(rate));
            f64::from(rate)
        };
        let change = behaviour::Change {
            rate_limit: Some(rate_limit),
            ..behaviour::Change::default()
        };
        self.note(format!("target {node} states the limit {rate_limit}"));
        target.change(change).await.unwrap();
    }

    async fn state_leaving(&mut self, fleet: &fleet::Fleet, node: usize) {
        let Some(target) = &fleet.nodes[node].target else {
            return;
        };
        let mut statements = self.history.statements.iter();
        if statements.any(|open| open.node == node && open.to.is_none()) {
            return;
        }
        self.note(format!("target {node} states that it leaves"));
        self.begin_statement(node, None);
        let change = behaviour::Change {
            leaving: Some(true),
            ..behaviour::Change::default()
        };
        target.change(change).await.unwrap();
        let at = Instant::now() + LEAVING_TIME;
        self.repairs.push((at, repair::Repair::NextRun(node)));
    }

    fn begin_statement(&mut self, node: usize, rate_limit: Option<u32>) {
        let from = Instant::now();
        self.history.statements.push(statement::Statement {
            node,
            rate_limit,
            from,
            to: None,
        });
    }

    async fn repair_due(&mut self, fleet: &mut fleet::Fleet) {
        let now = Instant::now();
        let (due, later): (Vec<_>, Vec<_>) = self.repairs.drain(..).partition(|(at, _)| *at <= now);
        self.repairs = later;
        for (since, repair) in due {
            self.note(format!("{repair:?}"));
            self.repair(fleet, since, repair).await;
        }
    }

    async fn repair(&mut self, fleet: &mut fleet::Fleet, since: Instant, repair: repair::Repair) {
        match repair {
            repair::Repair::RestartNode(node) => fleet.nodes[node].process.restart().unwrap(),
            repair::Repair::AwaitStop(node) => {
                let process = &mut fleet.nodes[node].process;
                if process.wait(Duration::from_millis(30)).await.is_ok() {
                    process.restart().unwrap();
                } else {
                    assert!(since.elapsed() < STOP_TIMEOUT, "node {node} does not stop");
                    self.repairs.push((since, repair));
                    self.history.steps.pop();
                }
            }
            repair::Repair::ThawNode(node) => fleet.nodes[node].process.thaw().unwrap(),
            repair::Repair::RestartControl(control) => {
                fleet.controls[control].process.restart().unwrap();
            }
            repair::Repair::ThawControl(control) => fleet.controls[control].process.thaw().unwrap(),
            repair::Repair::NextRun(node) => self.begin_next_run(fleet, node).await,
        }
    }

    /// Replaces a leaving target by its next run.
    async fn begin_next_run(&mut self, fleet: &fleet::Fleet, node: usize) {
        self.runs += 1;
        let change = behaviour::Change {
            leaving: Some(false),
            run: Some(self.runs),
            ..behaviour::Change::default()
        };
        let statements = self.history.statements.iter_mut();
        for statement in statements.filter(|statement| statement.node == node) {
            statement.to.get_or_insert_with(Instant::now);
        }
        if let Some(target) = &fleet.nodes[node].target {
            target.change(change).await.unwrap();
        }
    }
}
