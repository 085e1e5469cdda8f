//! State of the gate and its changes by messages.

use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use masticarch_kernel::reply;
use masticarch_model::{code, directory};
use masticarch_policy::credit::{loan, purse};
use masticarch_policy::currency;
use masticarch_policy::share::decision;
use slotmap::SlotMap;

use crate::gate::{
    admission, authority, choice, denial, key, message, parked, pending, remote, remotes, report,
    reports, request, running, splits, teams, terms, verdict,
};
use crate::{metrics, options, origin};

/// Time between two searches for requests that nobody ended.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time after its deadline at which a request that nobody ended is dropped: its
/// connection task went away before it read the reply.
const GRACE: Duration = Duration::from_secs(1);
/// Time after which reports that may be lost are sent again: an election takes
/// longer.
const RESEND_WAIT: Duration = Duration::from_millis(250);
/// Attempts per hop of the baseline of experiments, those of a usual proxy.
const BASELINE_ATTEMPTS: usize = 3;

/// State of the gate.
pub struct State {
    options: Rc<options::Options>,
    metrics: metrics::Metrics,
    rng: Rng,
    directory: Rc<directory::Directory>,
    parked: parked::Parked,
    currency: currency::Currency,
    teams: teams::Teams,
    splits: splits::Splits,
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
        let remotes = remotes::Remotes::new(own, place, options.decisions, options.repeats);
        Self {
            options,
            metrics,
            rng,
            directory: Rc::default(),
            parked: parked::Parked::default(),
            currency: currency::Currency::default(),
            teams: teams::Teams::default(),
            splits: splits::Splits::default(),
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
            message::Message::Granted(grants, sent) => {
                if let Some(sent) = self.currency.before_suspension(sent) {
                    self.teams.granted(&grants, sent, now);
                }
            }
            message::Message::Unreported => {
                self.teams.unreported();
                self.reports.hasten(now + RESEND_WAIT);
            }
            message::Message::Drain => self.draining = true,
        }
    }

    /// The VM was suspended for this long, which the clock did not count: what
    /// is known is as much older, and leases end as much sooner.
    pub fn suspend(&mut self, time: Duration, now: Instant) {
        tracing::warn!(?time, "the VM was suspended");
        self.currency.suspend(time, now);
        self.teams.suspend(time, now);
    }

    /// Does what has become due.
    pub fn tick(&mut self, now: Instant) {
        self.release(now);
        if let Some(asked) = self.reports.take_due(now) {
            let _ = asked.send(self.teams.reports(now));
        }
        while let Some(reply) = self.parked.take_expired(now) {
            denial::send(reply, code::Code::NotCurrent);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep(now);
        }
    }

    /// When [`Self::tick`] is due.
    pub fn wake(&self) -> Instant {
        let wakes = [self.teams.wake(), self.reports.wake(), self.parked.wake()];
        wakes
            .into_iter()
            .flatten()
            .fold(self.next_sweep, Instant::min)
    }

    fn begin(&mut self, request: request::Request, reply: pending::Reply, now: Instant) {
        match self.authorise(&request, now) {
            Ok((route, team)) => self.admit(route, team, request, reply, now),
            Err(code::Code::NotCurrent) if self.currency.is_unknown() => {
                self.park(request, reply, now);
            }
            Err(code) => denial::send(reply, code),
        }
    }

    /// Keeps a request that came before the first configuration.
    fn park(&mut self, request: request::Request, reply: pending::Reply, now: Instant) {
        let wait = self.options.start_wait;
        let wait = request.remaining.map_or(wait, |left| wait.min(left / 2));
        if let Err(reply) = self.parked.park(request, reply, now + wait) {
            denial::send(reply, code::Code::NotCurrent);
        }
    }

    fn authorise(
        &self,
        request: &request::Request,
        now: Instant,
    ) -> Result<(directory::RouteKey, authority::Team), code::Code> {
        // The calls of a running request go on: refusing them would cut off a
        // request that was accepted before.
        let is_root = matches!(request.origin, origin::Origin::Caller(_));
        if self.draining && is_root {
            return Err(code::Code::Draining);
        }
        let key = self.directory.route(request.host.as_deref(), &request.path);
        // A node that is not current cannot say that there is no such route.
        let missing = if self.currency.is_current(now) {
            code::Code::NoRoute
        } else {
            code::Code::NotCurrent
        };
        let key = key.ok_or(missing)?;
        let route = &self.directory.routes[key];
        if is_root && !route.is_open() && !self.currency.is_current(now) {
            return Err(code::Code::NotCurrent);
        }
        let team = authority::check(&self.directory, route, &request.origin)?;
        Ok((key, team))
    }

    /// Applies the team's rate to a root request; a sub-call is covered by the
    /// token of its root.
    fn admit(
        &mut self,
        key: directory::RouteKey,
        team: authority::Team,
        request: request::Request,
        reply: pending::Reply,
        now: Instant,
    ) {
        let is_root = matches!(request.origin, origin::Origin::Caller(_));
        let directory = Rc::clone(&self.directory);
        let route = &directory.routes[key];
        let rank = team.and_then(|team| directory.teams[team].rank);
        let rank = rank.unwrap_or(route.rank);
        let terms = terms::Terms::new(&directory, route, rank, request, &mut self.rng, now);
        if terms.deadline <= now {
            return denial::send(reply, code::Code::DeadlineExceeded);
        }
        let service = self.splits.choose(route, &mut self.rng);
        let place = service.and_then(|service| Some((service, self.remotes.pool_of(service)?)));
        let Some((service, pool)) = place else {
            return denial::send(reply, code::Code::NoTarget);
        };
        let rated = team.filter(|_| is_root && self.options.decisions);
        let pending = pending::Pending {
            reply,
            terms,
            team: team.map(|team| directory.teams[team].name.clone()),
            weight: team.map_or(1, |team| directory.teams[team].weight),
            rated: rated.is_some(),
            route: route.name.clone(),
            service: directory.services[service].name.clone(),
            pool,
            idempotent: route.idempotent,
            attempts: route.attempts,
        };
        match rated {
            Some(team) => self.apply_rate(team, pending, now),
            None => self.start(pending, now),
        }
    }

    fn apply_rate(&mut self, team: directory::TeamKey, pending: pending::Pending, now: Instant) {
        let until = pending.terms.deadline.min(now + self.options.rate_wait);
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
            decision::Decision::Refuse(pending) => {
                let code = self.rate_denial(&pending, now);
                denial::send(pending.reply, code);
            }
        }
    }

    /// Why a request got no token. A node whose lease has ended, or which has
    /// not got one yet, cannot say that the team is over its rate.
    fn rate_denial(&self, pending: &pending::Pending, now: Instant) -> code::Code {
        let team = pending.team.as_ref();
        if team.is_some_and(|team| self.teams.is_leased(team, now)) {
            code::Code::OverRate
        } else {
            code::Code::NotCurrent
        }
    }

    /// Sheds the request or chooses its first target.
    fn start(&mut self, pending: pending::Pending, now: Instant) {
        if pending.reply.is_canceled() {
            return self.refund(&pending, now);
        }
        if self.options.decisions && !self.passes(&pending, now) {
            self.refund(&pending, now);
            return denial::send(pending.reply, code::Code::Overloaded);
        }
        let Some(remote) = self.choose(pending.pool, &[], pending.terms.rank, now) else {
            self.refund(&pending, now);
            return denial::send(pending.reply, code::Code::NoTarget);
        };
        let mut purse = purse::Purse::new(pending.terms.loan);
        let choice = self.choice(remote, &mut purse, pending.terms.deadline, now);
        let request = self.running.insert(running::Running {
            pool: pending.pool,
            rank: pending.terms.rank,
            deadline: pending.terms.deadline,
            idempotent: pending.idempotent,
            attempts: pending.attempts,
            arrivals: 0,
            purse,
            tried: vec![remote],
            outstanding: true,
            choice: choice.clone(),
        });
        self.remotes.begun(remote);
        self.remotes.requested(pending.pool);
        let admission = admission::Admission {
            request,
            root: pending.terms.root,
            recognised: pending.terms.recognised,
            team: pending.team,
            route: pending.route,
            service: pending.service,
            weight: pending.weight,
            rank: pending.terms.rank,
            deadline: pending.terms.deadline,
            idempotent: pending.idempotent,
            choice,
        };
        if pending.reply.send(Ok(admission)).is_err() {
            self.end(request, None, now);
        }
    }

    /// Gives back the token of a request that does not run.
    fn refund(&mut self, pending: &pending::Pending, now: Instant) {
        if let Some(team) = &pending.team
            && pending.rated
        {
            self.teams.refund(team, now);
        }
    }

    fn passes(&mut self, pending: &pending::Pending, now: Instant) -> bool {
        self.remotes
            .passes(pending.pool, pending.terms.rank, &mut self.rng, now)
    }

    /// A target that was not tried, else any usable one.
    fn choose(
        &mut self,
        pool: remotes::PoolKey,
        tried: &[remote::RemoteKey],
        rank: u8,
        now: Instant,
    ) -> Option<remote::RemoteKey> {
        let fresh = self.choose_fresh(pool, tried, rank, now);
        fresh.or_else(|| self.choose_fresh(pool, &[], rank, now))
    }

    /// A target that was not tried. A target that has just refused a request for
    /// lack of capacity would refuse it again, and refusing costs capacity.
    fn choose_fresh(
        &mut self,
        pool: remotes::PoolKey,
        tried: &[remote::RemoteKey],
        rank: u8,
        now: Instant,
    ) -> Option<remote::RemoteKey> {
        self.remotes.choose(pool, tried, rank, &mut self.rng, now)
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
        let overloaded = verdict::failure(report) == Some(code::Code::Overloaded);
        let remote = if self.options.decisions && overloaded {
            self.choose_fresh(pool, &tried, rank, now)?
        } else {
            self.choose(pool, &tried, rank, now)?
        };
        if verdict::has_arrived(report) && !self.remotes.may_repeat(pool) {
            return None;
        }
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
        running.attempt(remote, choice.clone());
        Some(choice)
    }

    fn may_retry(&self, running: &running::Running, report: &report::Report, now: Instant) -> bool {
        if !self.options.decisions {
            return running.tried.len() < BASELINE_ATTEMPTS;
        }
        // Where every target sheds the rank, another attempt is only load.
        let shed = verdict::failure(report) == Some(code::Code::Overloaded)
            && self.remotes.all_shed(running.pool, running.rank, now);
        running.may_retry(report) && !shed
    }

    /// Takes the report of the present attempt. A second report of the same
    /// attempt has no effect.
    fn learn(&mut self, key: key::RequestKey, report: &report::Report, now: Instant) {
        let Some(running) = self.running.get_mut(key) else {
            return;
        };
        if let Some(remote) = running.report(report) {
            let (pool, rank) = (running.pool, running.rank);
            self.remotes.ended(pool, remote, rank, report, now);
        }
    }

    fn set_credit(&mut self, key: key::RequestKey, loan: loan::Loan) -> Option<choice::Choice> {
        let running = self.running.get_mut(key)?;
        running.set_credit(loan);
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

    fn withdraw(&mut self, key: key::RequestKey) {
        let running = self.running.get_mut(key);
        if let Some(remote) = running.and_then(running::Running::withdraw) {
            self.remotes.withdrawn(remote);
        }
    }

    fn install(&mut self, directory: Rc<directory::Directory>, at: Instant, now: Instant) {
        self.currency.confirm(at);
        if directory.version < self.directory.version {
            return;
        }
        self.remotes.install(&directory);
        self.splits.install(&directory);
        for pending in self.teams.install(&directory, now) {
            denial::send(pending.reply, code::Code::WrongTeam);
        }
        self.directory = directory;
        for (request, reply) in self.parked.take_all() {
            self.begin(request, reply, now);
        }
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
