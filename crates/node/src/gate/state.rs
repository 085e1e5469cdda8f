//! State of the gate and its changes by messages.

use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use masticarch_model::{code, directory};
use masticarch_policy::credit::allowance;
use masticarch_policy::freshness;
use masticarch_policy::share::{decision, holder};
use masticarch_policy::shutdown;

use crate::gate::{
    authorization, context, denial, dispatcher, lease_report, message, pending, request, splits,
    startup, teams,
};
use crate::{metrics, options, origin};

/// Time between two searches for requests that nobody ended.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Delay after which reports that may have been lost are sent again. An election
/// takes longer.
const REPORT_RETRY_DELAY: Duration = Duration::from_millis(250);

/// State of the gate.
pub struct State {
    options: Rc<options::Options>,
    rng: Rng,
    directory: Rc<directory::Directory>,
    startup: startup::Queue,
    freshness: freshness::Freshness,
    teams: teams::Teams,
    splits: splits::Splits,
    dispatcher: dispatcher::Dispatcher,
    lease_report: lease_report::Schedule,
    shutdown: shutdown::Shutdown,
    draining: bool,
    next_sweep: Instant,
}

impl State {
    /// State without a directory.
    pub fn new(
        options: Rc<options::Options>,
        metrics: metrics::Metrics,
        mut rng: Rng,
        now: Instant,
    ) -> Self {
        let dispatcher = dispatcher::Dispatcher::new(Rc::clone(&options), metrics, rng.fork());
        Self {
            options,
            rng,
            directory: Rc::default(),
            startup: startup::Queue::default(),
            freshness: freshness::Freshness::default(),
            teams: teams::Teams::default(),
            splits: splits::Splits::default(),
            dispatcher,
            lease_report: lease_report::Schedule::new(now),
            shutdown: shutdown::Shutdown::default(),
            draining: false,
            next_sweep: now + SWEEP_INTERVAL,
        }
    }

    /// Handles one message.
    pub fn handle(&mut self, message: message::Message, now: Instant) {
        match message {
            message::Message::Begin(request, reply) => self.begin(*request, reply, now),
            message::Message::Next(key, report, reply) => {
                self.dispatcher.next(key, &report, reply, now);
            }
            message::Message::SetCredit(key, credit, repeat, reply) => {
                let allowance = allowance::Allowance { credit, repeat };
                let _ = reply.send(self.dispatcher.set_credit(key, allowance));
            }
            message::Message::End(key, report, reply) => {
                let total = self.dispatcher.end(key, report.as_ref(), now);
                let _ = reply.map(|reply| reply.send(total));
            }
            message::Message::Install(directory, at) => self.install(directory, at, now),
            message::Message::Current(at) => self.freshness.confirm(at),
            message::Message::Reports(reply) => self.lease_report.ask(reply),
            message::Message::Grants(grants, sent) => {
                if let Some(sent) = self.freshness.before_suspension(sent) {
                    self.teams.apply_grants(&grants, sent, now);
                }
            }
            message::Message::ReportsLost => {
                self.teams.reports_lost();
                self.lease_report.bring_forward(now + REPORT_RETRY_DELAY);
            }
            message::Message::LeaderChanged => self.lease_report.bring_forward(now),
            message::Message::ShutDown(ends) => self.shutdown.begin(ends),
            message::Message::Drain => self.draining = true,
        }
    }

    /// Accounts for a suspension of the VM, which the monotonic clock did not count:
    /// the configuration is older, and leases end sooner, by `time`.
    pub fn suspend(&mut self, time: Duration, now: Instant) {
        tracing::warn!(?time, "the VM was suspended");
        self.freshness.suspend(time, now);
        self.teams.suspend(time, now);
    }

    /// Handles everything that is due: requests that waited for tokens, lease reports,
    /// requests that waited for a configuration, and abandoned requests.
    pub fn tick(&mut self, now: Instant) {
        self.release_waiting(now);
        if let Some(waiter) = self.lease_report.take_due(now) {
            let _ = waiter.send(self.teams.reports(now));
        }
        while let Some(reply) = self.startup.take_expired(now) {
            denial::send(reply, code::Code::NotCurrent);
        }
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.dispatcher.sweep(now);
        }
    }

    /// When [`Self::tick`] is due.
    pub fn wake(&self) -> Instant {
        let wakes = [
            self.teams.wake(),
            self.lease_report.wake(),
            self.startup.wake(),
        ];
        wakes
            .into_iter()
            .flatten()
            .fold(self.next_sweep, Instant::min)
    }

    fn begin(&mut self, request: request::Request, reply: pending::Reply, now: Instant) {
        match self.authorise(&request, now) {
            Ok((route, team)) => self.admit(route, team, request, reply, now),
            Err(code::Code::NotCurrent) if self.freshness.is_unconfirmed() => {
                self.queue_until_configured(request, reply, now);
            }
            Err(code) => denial::send(reply, code),
        }
    }

    /// Keeps a request that arrived before the first configuration. It waits for the
    /// start wait of the options, but for no more than half of its remaining time.
    fn queue_until_configured(
        &mut self,
        request: request::Request,
        reply: pending::Reply,
        now: Instant,
    ) {
        let wait = self.options.start_wait;
        let wait = request.remaining.map_or(wait, |left| wait.min(left / 2));
        if let Err(reply) = self.startup.push(request, reply, now + wait) {
            denial::send(reply, code::Code::NotCurrent);
        }
    }

    fn authorise(
        &self,
        request: &request::Request,
        now: Instant,
    ) -> Result<(directory::RouteKey, authorization::Team), code::Code> {
        // Sub-calls of a running request are still accepted: refusing them would fail
        // a request that was accepted before.
        let is_root = matches!(request.origin, origin::Origin::Caller(_));
        if self.draining && is_root {
            return Err(code::Code::Draining);
        }
        let key = self.directory.route(request.host.as_deref(), &request.path);
        // A node that is not current cannot say that there is no such route.
        let not_found = if self.freshness.is_current(now) {
            code::Code::NoRoute
        } else {
            code::Code::NotCurrent
        };
        let key = key.ok_or(not_found)?;
        let route = &self.directory.routes[key];
        if is_root && !route.is_open() && !self.freshness.is_current(now) {
            return Err(code::Code::NotCurrent);
        }
        let team = authorization::check(&self.directory, route, &request.origin)?;
        Ok((key, team))
    }

    /// Applies the rate limit of the team to a root request; a sub-call is covered by
    /// the token of its root request.
    fn admit(
        &mut self,
        key: directory::RouteKey,
        team: authorization::Team,
        request: request::Request,
        reply: pending::Reply,
        now: Instant,
    ) {
        let is_root = matches!(request.origin, origin::Origin::Caller(_));
        let directory = Rc::clone(&self.directory);
        let route = &directory.routes[key];
        let rank = team.and_then(|team| directory.teams[team].rank);
        let rank = rank.unwrap_or(route.rank);
        let mut context =
            context::Context::new(&directory, route, rank, request, &mut self.rng, now);
        context.deadline = self.shutdown.limit(context.deadline);
        if context.deadline <= now {
            return denial::send(reply, code::Code::DeadlineExceeded);
        }
        let service = self.splits.choose(route, &mut self.rng);
        let chosen =
            service.and_then(|service| Some((service, self.dispatcher.upstream_of(service)?)));
        let Some((service, upstream)) = chosen else {
            return denial::send(reply, code::Code::NoTarget);
        };
        let rated = team.filter(|_| is_root && self.options.decisions);
        let pending = pending::Pending {
            reply,
            context,
            team: team.map(|team| directory.teams[team].name.clone()),
            weight: team.map_or(1, |team| directory.teams[team].weight),
            rated: rated.is_some(),
            route: route.name.clone(),
            service: directory.services[service].name.clone(),
            upstream,
            idempotent: route.idempotent,
            max_attempts: route.attempts,
        };
        match rated {
            Some(team) => self.apply_rate(team, pending, now),
            None => self.start(pending, now),
        }
    }

    fn apply_rate(&mut self, team: directory::TeamKey, pending: pending::Pending, now: Instant) {
        let left = pending.context.deadline.saturating_duration_since(now);
        let unanswered = self.options.unanswered_rate_wait.min(left / 2);
        let patience = holder::Patience {
            until: now + self.options.rate_wait.min(left),
            unanswered: now + unanswered,
        };
        let (decision, urgent) = self.teams.request(team, pending, patience, now);
        if let Some(at) = urgent {
            self.lease_report.bring_forward(at);
        }
        self.apply(decision, now);
    }

    /// Starts or refuses the requests whose wait for a token has ended.
    fn release_waiting(&mut self, now: Instant) {
        while let Some(decision) = self.teams.next(now) {
            self.apply(decision, now);
        }
    }

    fn apply(&mut self, decision: decision::Decision<pending::Pending>, now: Instant) {
        match decision {
            decision::Decision::Pass(pending) => self.start(pending, now),
            decision::Decision::Wait => {}
            decision::Decision::Refuse(pending) => {
                let code = self.rate_denial(&pending, now);
                denial::send_for(pending.reply, code, pending.team);
            }
        }
    }

    /// Why a request got no token. A node without a valid lease cannot say that the
    /// team is over its rate.
    fn rate_denial(&self, pending: &pending::Pending, now: Instant) -> code::Code {
        let team = pending.team.as_ref();
        if team.is_some_and(|team| self.teams.is_leased(team, now)) {
            code::Code::OverRate
        } else {
            code::Code::NotCurrent
        }
    }

    fn start(&mut self, pending: pending::Pending, now: Instant) {
        if pending.reply.is_canceled() {
            return self.refund(&pending, now);
        }
        if let Err(refused) = self.dispatcher.start(pending, now) {
            self.refund(&refused.pending, now);
            denial::send(refused.pending.reply, refused.code);
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

    fn install(&mut self, directory: Rc<directory::Directory>, at: Instant, now: Instant) {
        self.freshness.confirm(at);
        if directory.version < self.directory.version {
            return;
        }
        self.dispatcher.install(&directory, now);
        self.splits.install(&directory);
        for pending in self.teams.install(&directory, now) {
            denial::send(pending.reply, code::Code::WrongTeam);
        }
        self.directory = directory;
        for (request, reply) in self.startup.take_all() {
            self.begin(request, reply, now);
        }
    }
}
