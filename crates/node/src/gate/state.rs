//! State of the gate and its changes by messages.

use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use masticarch_kernel::reply;
use masticarch_model::{code, directory, ran};
use masticarch_policy::credit::{loan, purse, tree};
use masticarch_policy::currency;
use masticarch_policy::share::decision;
use slotmap::SlotMap;

use crate::gate::{
    admission, authority, choice, key, message, pending, remote, remotes, report, reports, request,
    running, teams, verdict,
};
use crate::{metrics, options, origin, refusal};

/// Time between two searches for requests that nobody ended.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time after its deadline at which a request that nobody ended is dropped: its
/// connection task went away before it read the reply.
const GRACE: Duration = Duration::from_secs(1);
/// Attempts per hop of the baseline of experiments, those of a usual proxy.
const BASELINE_ATTEMPTS: usize = 3;

/// State of the gate.
pub struct State {
    options: Rc<options::Options>,
    metrics: metrics::Metrics,
    rng: Rng,
    directory: Rc<directory::Directory>,
    currency: currency::Currency,
    teams: teams::Teams,
    remotes: remotes::Remotes,
    running: SlotMap<key::RequestKey, running::Running>,
    reports: reports::Reports,
    draining: bool,
    next_sweep: Instant,
}

impl State {
    /// State without a directory.
    pub fn new(
        options: Rc<options::Options>,
        metrics: metrics::Metrics,
        rng: Rng,
        now: Instant,
    ) -> Self {
        let (own, place) = (options.name.clone(), options.place.clone());
        let remotes = remotes::Remotes::new(own, place, options.decisions);
        Self {
            options,
            metrics,
            rng,
            directory: Rc::default(),
            currency: currency::Currency::default(),
            teams: teams::Teams::default(),
            remotes,
            running: SlotMap::with_key(),
            reports: reports::Reports::new(now),
            draining: false,
            next_sweep: now + SWEEP_INTERVAL,
        }
    }

    /// Handles one message.
    pub fn handle(&mut self, message: message::Message, now: Instant) {
        match message {
            message::Message::Begin(request, reply) => self.begin(*request, reply, now),
            message::Message::Next(key, report, reply) => self.next(key, &report, reply, now),
            message::Message::Credit(key, credit, repeat, reply) => {
                let _ = reply.send(self.set_credit(key, loan::Loan { credit, repeat }));
            }
            message::Message::End(key, report, reply) => {
                let total = self.end(key, report.as_ref(), now);
                let _ = reply.map(|reply| reply.send(total));
            }
            message::Message::Install(directory, at) => self.install(directory, at, now),
            message::Message::Current(at) => self.currency.confirm(at),
            message::Message::Reports(reply) => self.reports.ask(reply),
            message::Message::Granted(grants, sent) => self.teams.granted(&grants, sent, now),
            message::Message::Drain => self.draining = true,
        }
    }

    /// Does what has become due.
    pub fn tick(&mut self, now: Instant) {
        self.release(now);
        if let Some(asked) = self.reports.take_due(now) {
            let _ = asked.send(self.teams.reports(now));
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep(now);
        }
    }

    /// When [`Self::tick`] is due.
    pub fn wake(&self) -> Instant {
        let wakes = [self.teams.wake(), self.reports.wake()];
        wakes
            .into_iter()
            .flatten()
            .fold(self.next_sweep, Instant::min)
    }

    fn begin(&mut self, request: request::Request, reply: pending::Reply, now: Instant) {
        match self.authorise(&request, now) {
            Ok((route, team)) => self.admit(route, team, request, reply, now),
            Err(code) => refuse(reply, code),
        }
    }

    fn authorise(
        &self,
        request: &request::Request,
        now: Instant,
    ) -> Result<(directory::RouteKey, authority::Team), code::Code> {
        if self.draining {
            return Err(code::Code::Draining);
        }
        let key = self.directory.route(&request.path);
        let key = key.ok_or(code::Code::NoRoute)?;
        let route = &self.directory.routes[key];
        if route.teams.is_some() && !self.currency.is_current(now) {
            return Err(code::Code::NotCurrent);
        }
        let team = authority::check(&self.directory, route, &request.origin)?;
        Ok((key, team))
    }

    /// Applies the team's rate to a root request; a sub-call is covered by the
    /// token of its root.
    fn admit(
        &mut self,
        route: directory::RouteKey,
        team: authority::Team,
        request: request::Request,
        reply: pending::Reply,
        now: Instant,
    ) {
        let is_root = matches!(request.origin, origin::Origin::Caller(_));
        let pending = match self.prepare(route, team, request, reply, now) {
            Ok(pending) => pending,
            Err((reply, code)) => return refuse(reply, code),
        };
        match team.filter(|_| is_root && self.options.decisions) {
            Some(team) => self.apply_rate(team, pending, now),
            None => self.start(pending, now),
        }
    }

    fn prepare(
        &mut self,
        route: directory::RouteKey,
        team: authority::Team,
        request: request::Request,
        reply: pending::Reply,
        now: Instant,
    ) -> Result<pending::Pending, (pending::Reply, code::Code)> {
        let route = &self.directory.routes[route];
        let deadline = deadline(route, &request, now);
        if deadline <= now {
            return Err((reply, code::Code::DeadlineExceeded));
        }
        let Some(pool) = self.remotes.pool_of(route.service) else {
            return Err((reply, code::Code::NoTarget));
        };
        let rank = rank(&self.directory, route, &request);
        let (root, recognised, loan) = match (request.origin, request.id) {
            (origin::Origin::SubCall(parent), _) => {
                let loan = loan::Loan {
                    credit: parent.credit,
                    repeat: parent.repeat,
                };
                (parent.root, false, loan)
            }
            (origin::Origin::Caller(_), Some(id)) => (id, true, first_loan(route)),
            (origin::Origin::Caller(_), None) => {
                let id = format!("{:032x}", self.rng.u128(..));
                (id.into(), false, first_loan(route))
            }
        };
        Ok(pending::Pending {
            reply,
            root,
            recognised,
            team: team.map(|team| self.directory.teams[team].name.clone()),
            weight: team.map_or(1, |team| self.directory.teams[team].weight),
            route: route.name.clone(),
            service: self.directory.services[route.service].name.clone(),
            pool,
            rank,
            deadline,
            idempotent: route.idempotent,
            loan,
        })
    }

    fn apply_rate(&mut self, team: directory::TeamKey, pending: pending::Pending, now: Instant) {
        let until = pending.deadline.min(now + self.options.rate_wait);
        let (decision, urgent) = self.teams.request(team, pending, until, now);
        if let Some(at) = urgent {
            self.reports.hasten(at);
        }
        self.settle(decision, now);
    }

    /// Goes on with requests whose wait for a token has ended.
    fn release(&mut self, now: Instant) {
        while let Some(decision) = self.teams.next(now) {
            self.settle(decision, now);
        }
    }

    fn settle(&mut self, decision: decision::Decision<pending::Pending>, now: Instant) {
        match decision {
            decision::Decision::Pass(pending) => self.start(pending, now),
            decision::Decision::Wait => {}
            decision::Decision::Refuse(pending) => refuse(pending.reply, code::Code::OverRate),
        }
    }

    /// Sheds the request or chooses its first target.
    fn start(&mut self, pending: pending::Pending, now: Instant) {
        if pending.reply.is_canceled() {
            return;
        }
        if self.options.decisions && !self.passes(&pending, now) {
            return refuse(pending.reply, code::Code::Overloaded);
        }
        let Some(remote) = self.choose(pending.pool, &[], pending.rank, now) else {
            return refuse(pending.reply, code::Code::NoTarget);
        };
        let mut purse = purse::Purse::new(pending.loan);
        let choice = self.choice(remote, &mut purse, pending.deadline, now);
        let request = self.running.insert(running::Running {
            pool: pending.pool,
            rank: pending.rank,
            deadline: pending.deadline,
            idempotent: pending.idempotent,
            purse,
            tried: vec![remote],
            outstanding: true,
            choice: choice.clone(),
        });
        self.remotes.begun(remote);
        let admission = admission::Admission {
            request,
            root: pending.root,
            recognised: pending.recognised,
            team: pending.team,
            route: pending.route,
            service: pending.service,
            weight: pending.weight,
            rank: pending.rank,
            deadline: pending.deadline,
            idempotent: pending.idempotent,
            choice,
        };
        if pending.reply.send(Ok(admission)).is_err() {
            self.end(request, None, now);
        }
    }

    fn passes(&mut self, pending: &pending::Pending, now: Instant) -> bool {
        self.remotes
            .passes(pending.pool, pending.rank, &mut self.rng, now)
    }

    /// A target that was not tried, else any usable one.
    fn choose(
        &mut self,
        pool: remotes::PoolKey,
        tried: &[remote::RemoteKey],
        rank: u8,
        now: Instant,
    ) -> Option<remote::RemoteKey> {
        let rng = &mut self.rng;
        let fresh = self.remotes.choose(pool, tried, rank, rng, now);
        fresh.or_else(|| self.remotes.choose(pool, &[], rank, rng, now))
    }

    fn choice(
        &self,
        key: remote::RemoteKey,
        purse: &mut purse::Purse,
        deadline: Instant,
        now: Instant,
    ) -> choice::Choice {
        let loan = purse.lend();
        let remote = self.remotes.get(key).expect("a chosen target is known");
        choice::Choice {
            target: remote.target,
            node: remote.node.clone(),
            incarnation: remote.incarnation,
            peer: remote.peer,
            credit: loan.credit,
            repeat: loan.repeat,
            timeout: deadline.saturating_duration_since(now),
        }
    }

    fn next(
        &mut self,
        key: key::RequestKey,
        report: &report::Report,
        reply: reply::Reply<Option<choice::Choice>>,
        now: Instant,
    ) {
        let choice = self.retry(key, report, now);
        let retried = choice.is_some();
        if reply.send(choice).is_err() {
            self.end(key, None, now);
        } else if retried {
            let code = verdict::failure(report).unwrap_or(code::Code::TargetFailed);
            self.metrics.retried(code);
        }
    }

    /// Takes the report of an attempt and chooses the target of the next one.
    fn retry(
        &mut self,
        key: key::RequestKey,
        report: &report::Report,
        now: Instant,
    ) -> Option<choice::Choice> {
        self.learn(key, report, now);
        let running = self.running.get(key)?;
        if now >= running.deadline || !self.may_retry(running, report, now) {
            return None;
        }
        let (pool, rank) = (running.pool, running.rank);
        let tried = running.tried.clone();
        let remote = self.choose(pool, &tried, rank, now)?;
        let running = self.running.get_mut(key)?;
        let executions = verdict::executions(report);
        if self.options.decisions && !running.purse.retry(executions) {
            return None;
        }
        let (mut purse, deadline) = (running.purse, running.deadline);
        let choice = self.choice(remote, &mut purse, deadline, now);
        self.remotes.begun(remote);
        let running = self.running.get_mut(key)?;
        running.purse = purse;
        running.tried.push(remote);
        running.outstanding = true;
        running.choice = choice.clone();
        Some(choice)
    }

    fn may_retry(&self, running: &running::Running, report: &report::Report, now: Instant) -> bool {
        if !self.options.decisions {
            return running.tried.len() < BASELINE_ATTEMPTS;
        }
        let Some(code) = verdict::failure(report) else {
            return false;
        };
        let harmless = running.idempotent || report.ran == ran::Ran::No;
        let shed = code == code::Code::Overloaded
            && self.remotes.all_shed(running.pool, running.rank, now);
        harmless && verdict::is_retryable(code) && !shed
    }

    /// Takes the report of the present attempt. A second report of the same
    /// attempt has no effect.
    fn learn(&mut self, key: key::RequestKey, report: &report::Report, now: Instant) {
        let Some(running) = self.running.get_mut(key).filter(|entry| entry.outstanding) else {
            return;
        };
        running.outstanding = false;
        running.purse.take_back(tree::Tree {
            credit: report.credit,
            executions: verdict::executions(report),
        });
        if let Some(remote) = running.remote() {
            let (pool, rank) = (running.pool, running.rank);
            self.remotes.ended(pool, remote, rank, report, now);
        }
    }

    fn set_credit(&mut self, key: key::RequestKey, loan: loan::Loan) -> Option<choice::Choice> {
        let running = self.running.get_mut(key)?;
        running.purse = purse::Purse::new(loan);
        let lent = running.purse.lend();
        running.choice.credit = lent.credit;
        running.choice.repeat = lent.repeat;
        Some(running.choice.clone())
    }

    fn end(
        &mut self,
        key: key::RequestKey,
        report: Option<&report::Report>,
        now: Instant,
    ) -> message::Total {
        match report {
            Some(report) => self.learn(key, report, now),
            None => self.withdraw(key),
        }
        let running = self.running.remove(key);
        let tree = running.map(|running| running.purse.close());
        message::Total {
            credit: tree.map_or(0, |tree| tree.credit),
            executions: tree.and_then(|tree| tree.executions),
        }
    }

    /// The present attempt was not sent: all that it was lent comes back.
    fn withdraw(&mut self, key: key::RequestKey) {
        let Some(running) = self.running.get_mut(key).filter(|entry| entry.outstanding) else {
            return;
        };
        running.outstanding = false;
        running.purse.take_back(tree::Tree {
            credit: running.choice.credit,
            executions: Some(0),
        });
        if let Some(remote) = running.remote() {
            self.remotes.withdrawn(remote);
        }
    }

    fn install(&mut self, directory: Rc<directory::Directory>, at: Instant, now: Instant) {
        self.currency.confirm(at);
        if directory.version < self.directory.version {
            return;
        }
        self.remotes.install(&directory);
        for pending in self.teams.install(&directory, now) {
            refuse(pending.reply, code::Code::WrongTeam);
        }
        self.directory = directory;
    }

    fn sweep(&mut self, now: Instant) {
        let abandoned: Vec<_> = self
            .running
            .iter()
            .filter(|(_, running)| now.saturating_duration_since(running.deadline) > GRACE)
            .map(|(key, _)| key)
            .collect();
        for key in abandoned {
            self.end(key, None, now);
        }
    }
}

/// The earliest of the route's, the caller's and the parent's deadline.
fn deadline(route: &directory::Route, request: &request::Request, now: Instant) -> Instant {
    let asked = request.remaining.unwrap_or(route.timeout);
    let own = now + route.timeout.min(asked);
    match &request.origin {
        origin::Origin::SubCall(loan) => own.min(loan.deadline),
        origin::Origin::Caller(_) => own,
    }
}

/// The route's rank, or that of the root request; a caller may only lower it.
fn rank(
    directory: &directory::Directory,
    route: &directory::Route,
    request: &request::Request,
) -> u8 {
    let given = match &request.origin {
        origin::Origin::SubCall(loan) => loan.rank,
        origin::Origin::Caller(_) => route.rank,
    };
    let asked = request.priority.as_deref();
    let asked = asked.and_then(|name| directory.rank_named(name));
    asked.map_or(given, |asked| asked.max(given))
}

/// The credit of a root request.
const fn first_loan(route: &directory::Route) -> loan::Loan {
    loan::Loan {
        credit: route.retries,
        repeat: false,
    }
}

fn refuse(reply: pending::Reply, code: code::Code) {
    let mut refusal = refusal::Refusal::new(code, detail(code));
    if matches!(code, code::Code::OverRate | code::Code::Overloaded) {
        refusal.retry_after = Some(Duration::from_secs(1));
    }
    let _ = reply.send(Err(refusal));
}

/// One sentence for the reader of the answer.
const fn detail(code: code::Code) -> &'static str {
    match code {
        code::Code::NoKey => "the route needs a key",
        code::Code::UnknownKey => "the key is not known",
        code::Code::KeyWithdrawn => "the key has been withdrawn",
        code::Code::WrongTeam => "the team may not use the route",
        code::Code::NoRoute => "no route matches the path",
        code::Code::OverRate => "the team's rate and burst are used up",
        code::Code::Overloaded => "the service has no capacity for this priority",
        code::Code::NoTarget => "no usable target serves the route",
        code::Code::DeadlineExceeded => "the deadline has passed",
        code::Code::Draining => "the node is leaving",
        code::Code::NotCurrent => "the node cannot show that its configuration is current",
        _ => "the request cannot run at present",
    }
}
