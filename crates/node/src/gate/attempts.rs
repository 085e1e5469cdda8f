//! The requests in flight at their entry node, and the targets of their attempts.

use std::rc::Rc;
use std::time::{Duration, Instant};

use fastrand::Rng;
use masticarch_kernel::reply;
use masticarch_model::{code, directory};
use masticarch_policy::credit::{balance, loan};
use slotmap::SlotMap;

use crate::gate::{
    admission, choice, key, message, pending, remote, remotes, report, running, verdict,
};
use crate::{metrics, options};

/// Time after its deadline at which a request that nobody ended is dropped: its
/// connection task went away before it read the reply.
const GRACE: Duration = Duration::from_secs(1);
/// Attempts per hop of the baseline of experiments, those of a usual proxy.
const BASELINE_ATTEMPTS: usize = 3;

/// A request that is not sent to a target.
#[derive(Debug)]
pub struct Refused {
    /// The request.
    pub pending: pending::Pending,
    /// Why.
    pub code: code::Code,
}

/// The requests in flight at their entry node, and the targets of their attempts.
#[derive(Debug)]
pub struct Attempts {
    options: Rc<options::Options>,
    metrics: metrics::Metrics,
    rng: Rng,
    remotes: remotes::Remotes,
    running: SlotMap<key::RequestKey, running::Running>,
}

impl Attempts {
    /// No requests, and no targets.
    pub fn new(options: Rc<options::Options>, metrics: metrics::Metrics, rng: Rng) -> Self {
        let (own, place) = (options.name.clone(), options.place.clone());
        let remotes = remotes::Remotes::new(own, place, options.decisions, options.repeats);
        Self {
            options,
            metrics,
            rng,
            remotes,
            running: SlotMap::with_key(),
        }
    }

    /// Follows a new directory.
    pub fn install(&mut self, directory: &directory::Directory) {
        self.remotes.install(directory);
    }

    /// The targets of a service of the directory.
    pub fn pool_of(&self, service: directory::ServiceKey) -> Option<remotes::PoolKey> {
        self.remotes.pool_of(service)
    }

    /// Sheds a request, or chooses its first target and tells its connection.
    ///
    /// # Errors
    /// [`Refused`] when it is shed or there is no target.
    pub fn start(&mut self, pending: pending::Pending, now: Instant) -> Result<(), Refused> {
        if self.options.decisions && !self.passes(&pending, now) {
            let code = code::Code::Overloaded;
            return Err(Refused { pending, code });
        }
        let Some(remote) = self.choose(pending.pool, &[], pending.terms.rank, now) else {
            let code = code::Code::NoTarget;
            return Err(Refused { pending, code });
        };
        let mut balance = balance::Balance::new(pending.terms.loan);
        let choice = self.choice(remote, &mut balance, pending.terms.deadline, now);
        let request = self.running.insert(running::Running {
            pool: pending.pool,
            rank: pending.terms.rank,
            deadline: pending.terms.deadline,
            idempotent: pending.idempotent,
            attempts: pending.attempts,
            arrivals: 0,
            balance,
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
        Ok(())
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
        balance: &mut balance::Balance,
        deadline: Instant,
        now: Instant,
    ) -> choice::Choice {
        let loan = balance.lend();
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

    /// Takes the report of an attempt and answers with the next one, if there is
    /// to be one.
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
        if self.options.decisions && !running.balance.retry(executions) {
            return None;
        }
        let (mut balance, deadline) = (running.balance, running.deadline);
        let choice = self.choice(remote, &mut balance, deadline, now);
        self.remotes.begun(remote);
        let running = self.running.get_mut(key)?;
        running.balance = balance;
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

    /// Replaces the credit of a request by what the ledger allows.
    pub fn set_credit(&mut self, key: key::RequestKey, loan: loan::Loan) -> Option<choice::Choice> {
        let running = self.running.get_mut(key)?;
        running.set_credit(loan);
        Some(running.choice.clone())
    }

    /// Ends a request; without a report its last attempt was not sent.
    pub fn end(
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
        let outcome = running.map(|running| running.balance.close());
        message::Total {
            credit: outcome.map_or(0, |outcome| outcome.credit),
            executions: outcome.and_then(|outcome| outcome.executions),
        }
    }

    fn withdraw(&mut self, key: key::RequestKey) {
        let running = self.running.get_mut(key);
        if let Some(remote) = running.and_then(running::Running::withdraw) {
            self.remotes.withdrawn(remote);
        }
    }

    /// Ends requests that nobody ended.
    pub fn sweep(&mut self, now: Instant) {
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
