//! Dispatches requests: keeps the requests in flight, chooses the target of each
//! attempt, and decides on retries.

use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use masticarch_kernel::reply;
use masticarch_model::{code, directory};
use masticarch_policy::credit::{allowance, balance};
use slotmap::SlotMap;

use crate::gate::{
    admission, balancer, choice, classify, endpoint, key, message, pending, report, running, work,
};
use crate::{metrics, options};

/// Time after its deadline at which a request that nobody ended is dropped: its
/// connection task was dropped before it read the reply.
const ABANDONED_AFTER: Duration = Duration::from_secs(1);
/// Most attempts per hop in the baseline of experiments; the number is usual for
/// proxies.
const MAX_BASELINE_ATTEMPTS: usize = 3;

/// A target for an attempt.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    endpoint: endpoint::EndpointKey,
    /// Whether it is chosen although it fails.
    insists: bool,
}

/// A request that is not sent to any target.
#[derive(Debug)]
pub struct Refused {
    /// The refused request, with its reply still to be sent.
    pub pending: pending::Pending,
    /// Reason of the refusal.
    pub code: code::Code,
}

/// The requests in flight at their entry node, and the targets that they are
/// balanced over.
#[derive(Debug)]
pub struct Dispatcher {
    options: Rc<options::Options>,
    metrics: metrics::Metrics,
    rng: Rng,
    balancer: balancer::Balancer,
    running: SlotMap<key::RequestKey, running::Running>,
}

impl Dispatcher {
    /// A dispatcher without requests and targets.
    pub fn new(options: Rc<options::Options>, metrics: metrics::Metrics, rng: Rng) -> Self {
        let (own_node, place) = (options.name.clone(), options.place.clone());
        let balancer =
            balancer::Balancer::new(own_node, place, options.decisions, options.retry_limits);
        Self {
            options,
            metrics,
            rng,
            balancer,
            running: SlotMap::with_key(),
        }
    }

    /// Installs a new directory.
    pub fn install(&mut self, directory: &directory::Directory, now: Instant) {
        self.balancer.install(directory, now);
    }

    /// Key of the targets of a service of the directory.
    pub fn upstream_of(&self, service: directory::ServiceKey) -> Option<balancer::UpstreamKey> {
        self.balancer.upstream_of(service)
    }

    /// Sheds a request, or chooses its first target and replies with the admission.
    ///
    /// # Errors
    /// [`Refused`] when it is shed or there is no target.
    pub fn start(&mut self, pending: pending::Pending, now: Instant) -> Result<(), Refused> {
        if self.options.decisions && !self.passes(&pending, now) {
            let code = code::Code::Overloaded;
            return Err(Refused { pending, code });
        }
        let work = work::Work {
            upstream: pending.upstream,
            rank: pending.context.rank,
            route: pending.route.clone(),
        };
        let Some(candidate) = self.choose(&work, &[], now) else {
            let code = code::Code::NoTarget;
            return Err(Refused { pending, code });
        };
        let mut balance = balance::Balance::new(pending.context.allowance);
        let endpoint = candidate.endpoint;
        let choice = self.choice(candidate, &mut balance, pending.context.deadline, now);
        let request = self.running.insert(running::Running {
            work,
            deadline: pending.context.deadline,
            idempotent: pending.idempotent,
            max_attempts: pending.max_attempts,
            arrivals: 0,
            refused_by_target: false,
            balance,
            tried: vec![endpoint],
            outstanding: true,
            choice: choice.clone(),
        });
        self.balancer.record_start(endpoint);
        self.balancer.record_request(pending.upstream);
        let admission = admission::Admission {
            request,
            root: pending.context.root,
            has_stable_id: pending.context.has_stable_id,
            team: pending.team,
            route: pending.route,
            service: pending.service,
            weight: pending.weight,
            rank: pending.context.rank,
            deadline: pending.context.deadline,
            idempotent: pending.idempotent,
            choice,
        };
        if pending.reply.send(Ok(admission)).is_err() {
            self.end(request, None, now);
        }
        Ok(())
    }

    fn passes(&mut self, pending: &pending::Pending, now: Instant) -> bool {
        self.balancer
            .passes(pending.upstream, pending.context.rank, &mut self.rng, now)
    }

    /// A usable target that was not tried, or else any usable one.
    fn choose(
        &mut self,
        work: &work::Work,
        tried: &[endpoint::EndpointKey],
        now: Instant,
    ) -> Option<Candidate> {
        let untried = self.choose_untried(work, tried, now);
        untried.or_else(|| self.choose_untried(work, &[], now))
    }

    /// A usable target that was not tried. A target that has just refused a request
    /// for lack of capacity would refuse it again, and refusing costs capacity. One that
    /// fails is better than none: a fault of all targets is seldom their own.
    fn choose_untried(
        &mut self,
        work: &work::Work,
        tried: &[endpoint::EndpointKey],
        now: Instant,
    ) -> Option<Candidate> {
        [false, true].into_iter().find_map(|insists| {
            let chosen = self
                .balancer
                .choose(work, tried, insists, &mut self.rng, now);
            chosen.map(|endpoint| Candidate { endpoint, insists })
        })
    }

    fn choice(
        &self,
        candidate: Candidate,
        balance: &mut balance::Balance,
        deadline: Instant,
        now: Instant,
    ) -> choice::Choice {
        let allowance = balance.lend();
        let endpoint = self.balancer.get(candidate.endpoint);
        let endpoint = endpoint.expect("a chosen target is known");
        let statement = self.balancer.statement(endpoint);
        choice::Choice {
            target: endpoint.target,
            node: endpoint.node.clone(),
            incarnation: endpoint.incarnation,
            peer: endpoint.peer,
            credit: allowance.credit,
            repeat: allowance.repeat,
            timeout: deadline.saturating_duration_since(now),
            rate_limit: statement.and_then(|statement| statement.rate_limit),
            leaving: statement.and_then(|statement| statement.leaving.clone()),
            insists: candidate.insists,
        }
    }

    /// Takes the report of an attempt and replies with the target of the next one;
    /// `None` when no further attempt is allowed.
    pub fn next(
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
            let code = classify::failure(report).unwrap_or(code::Code::TargetFailed);
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
        self.record_report(key, report, now);
        let running = self.running.get(key)?;
        if now >= running.deadline || !self.may_retry(running, report, now) {
            return None;
        }
        let work = running.work.clone();
        let tried = running.tried.clone();
        let has_no_capacity = matches!(
            classify::failure(report),
            Some(code::Code::Overloaded | code::Code::DeadlineExceeded)
        );
        // A target may repeat its refusal of an earlier attempt, which has the same id.
        let untried_only = has_no_capacity || running.refused_by_target;
        let candidate = if self.options.decisions && untried_only {
            self.choose_untried(&work, &tried, now)?
        } else {
            self.choose(&work, &tried, now)?
        };
        if classify::has_arrived(report) && !self.balancer.try_withdraw_retry(work.upstream) {
            return None;
        }
        let running = self.running.get_mut(key)?;
        let executions = classify::executions(report);
        if self.options.decisions && !running.balance.retry(executions) {
            return None;
        }
        let (mut balance, deadline) = (running.balance, running.deadline);
        let endpoint = candidate.endpoint;
        let choice = self.choice(candidate, &mut balance, deadline, now);
        self.balancer.record_start(endpoint);
        let running = self.running.get_mut(key)?;
        running.balance = balance;
        running.begin_attempt(endpoint, choice.clone());
        Some(choice)
    }

    fn may_retry(&self, running: &running::Running, report: &report::Report, now: Instant) -> bool {
        if !self.options.decisions {
            return running.tried.len() < MAX_BASELINE_ATTEMPTS;
        }
        // While every target sheds the rank, another attempt only adds load.
        let shed = classify::failure(report) == Some(code::Code::Overloaded)
            && self
                .balancer
                .all_shed(running.work.upstream, running.work.rank, now);
        running.may_retry(report) && !shed
    }

    /// Records the report of the current attempt, at the request and at its target. A
    /// second report of the same attempt has no effect.
    fn record_report(&mut self, key: key::RequestKey, report: &report::Report, now: Instant) {
        let Some(running) = self.running.get_mut(key) else {
            return;
        };
        if let Some(endpoint) = running.report(report) {
            let work = running.work.clone();
            self.balancer.record_end(&work, endpoint, report, now);
        }
    }

    /// Replaces the credit of a request by what the ledger allows and returns its
    /// choice with it.
    pub fn set_credit(
        &mut self,
        key: key::RequestKey,
        allowance: allowance::Allowance,
    ) -> Option<choice::Choice> {
        let running = self.running.get_mut(key)?;
        running.set_credit(allowance);
        Some(running.choice.clone())
    }

    /// Ends a request with the report of its last attempt; `None` when that attempt was
    /// not sent. A report that was taken before has no effect.
    pub fn end(
        &mut self,
        key: key::RequestKey,
        report: Option<&report::Report>,
        now: Instant,
    ) -> message::Total {
        match report {
            Some(report) => self.record_report(key, report, now),
            None => self.withdraw(key),
        }
        let running = self.running.remove(key);
        let outcome = running.map(|running| running.balance.close());
        message::Total {
            credit: outcome.map_or(0, |outcome| outcome.credit),
            executions: outcome.and_then(|outcome| outcome.executions),
        }
    }

    fn withdraw(&mut self, key: key::RequestKey) {
        let running = self.running.get_mut(key);
        if let Some(endpoint) = running.and_then(running::Running::withdraw) {
            self.balancer.record_withdrawal(endpoint);
        }
    }

    /// Ends requests that nobody ended in time, and forgets what is old.
    pub fn sweep(&mut self, now: Instant) {
        self.balancer.sweep(now);
        let abandoned: Vec<_> = self
            .running
            .iter()
            .filter(|(_, running)| {
                now.saturating_duration_since(running.deadline) > ABANDONED_AFTER
            })
            .map(|(key, _)| key)
            .collect();
        for key in abandoned {
            self.end(key, None, now);
        }
    }
}
