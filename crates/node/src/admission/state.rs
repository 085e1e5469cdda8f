//! State of admission, and how messages change it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticarch_kernel::reply;
use masticarch_model::{code, map, name, target};
use masticarch_policy::credit::{account, allowance, outcome};
use masticarch_policy::limit::Limiter;
use masticarch_policy::queue::push;
use masticarch_policy::shed::level;
use masticarch_policy::shutdown;
use slotmap::SlotMap;

use crate::admission::{
    call, context, counters, entry, key, local, message, permit, summary, waiter,
};
use crate::protocol::notice;
use crate::{origin, refusal};

/// Time between two searches for calls that nobody ended.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Reply to a request for a permit.
type Reply = reply::Reply<Result<permit::Permit, message::Denial>>;

/// State of admission. `L` is the concurrency limiter of each target.
pub struct State<L> {
    targets: SlotMap<local::Key, local::Target<L>>,
    services: map::Map<name::Name, local::Key>,
    calls: SlotMap<key::CallKey, call::Call>,
    source: context::Source,
    counters: counters::Counters,
    queue_limit: Duration,
    decisions: bool,
    shutdown: shutdown::Shutdown,
    next_sweep: Instant,
}

impl<L: Limiter> State<L> {
    /// State without targets. `decisions` says whether a repeated execution costs credit
    /// and a target that fails is left out; it is off in the baseline of experiments.
    pub fn new(
        queue_limit: Duration,
        decisions: bool,
        counters: counters::Counters,
        now: Instant,
    ) -> Self {
        Self {
            targets: SlotMap::with_key(),
            services: map::Map::default(),
            calls: SlotMap::with_key(),
            source: context::Source::new(),
            counters,
            queue_limit,
            decisions,
            shutdown: shutdown::Shutdown::default(),
            next_sweep: now + SWEEP_INTERVAL,
        }
    }

    /// Handles one message.
    pub fn handle(&mut self, message: message::Message, now: Instant) {
        match message {
            message::Message::Acquire(entry, reply) => self.acquire(entry, reply, now),
            message::Message::Release(key, end, notice, reply) => {
                if let Some(notice) = notice {
                    let sent = now.checked_sub(end.duration()).unwrap_or(now);
                    self.observe(key, notice, sent, now);
                }
                self.release(key, end, reply, now);
            }
            message::Message::BeginSubCall(text, reply) => {
                let parent = self.begin_sub_call(&text);
                if let Err(Some(parent)) = reply.send(parent) {
                    self.end_sub_call(parent.call, not_run(parent.credit));
                }
            }
            message::Message::EndSubCall(key, credit, executions) => {
                self.end_sub_call(key, outcome::Outcome { credit, executions });
            }
            message::Message::CallFailed => {
                for local in self.targets.values_mut() {
                    local.record_failed_call(now);
                }
            }
            message::Message::Target(target, Some(address)) => self.update(target, address, now),
            message::Message::Target(target, None) => self.remove(&target, now),
            message::Message::ShutDown(ends) => self.shutdown.begin(ends),
            message::Message::Status(reply) => {
                let _ = reply.send(self.status(now));
            }
        }
    }

    /// Refuses requests that have waited too long and removes calls that nobody ended.
    pub fn tick(&mut self, now: Instant) {
        let due: Vec<_> = self
            .targets
            .iter()
            .filter(|(_, local)| local.wake().is_some_and(|wake| wake <= now))
            .map(|(key, _)| key)
            .collect();
        for key in due {
            self.dispatch(key, now);
        }
        if now >= self.next_sweep {
            self.sweep(now);
        }
    }

    /// When [`Self::tick`] is due.
    pub fn wake(&self) -> Instant {
        let wakes = self.targets.values().filter_map(local::Target::wake);
        wakes.fold(self.next_sweep, Instant::min)
    }

    fn acquire(&mut self, mut entry: Box<entry::Entry>, reply: Reply, now: Instant) {
        entry.deadline = self.shutdown.limit(entry.deadline);
        let Some(key) = self.services.get(&entry.service).copied() else {
            return self.deny_without_target(&entry, reply);
        };
        if self.targets[key].announced.state == target::State::Draining {
            return self.deny(key, &entry, reply, code::Code::Draining, now);
        }
        if self.decisions && !entry.insists && !self.targets[key].is_sound(now) {
            return self.deny(key, &entry, reply, code::Code::TargetEjected, now);
        }
        let allowance = allowance::Allowance {
            credit: entry.credit,
            repeat: entry.repeat && self.decisions,
        };
        let Some(account) = account::Account::open(allowance) else {
            return self.deny(key, &entry, reply, code::Code::RetryBudget, now);
        };
        if let Some(rate) = entry.rate_limit
            && self.targets[key].adopt_rate_limit(rate, now)
        {
            tracing::info!(service = %entry.service, rate, "rate limit learnt from another node");
        }
        let waiter = waiter::Waiter {
            entry,
            account,
            reply,
        };
        let pushed = self.targets[key].push(waiter, now);
        self.refuse_unqueued(key, pushed, now);
        self.dispatch(key, now);
    }

    /// Refuses the request that the queue did not accept or has displaced, if there is
    /// one.
    fn refuse_unqueued(
        &mut self,
        key: local::Key,
        pushed: push::Outcome<waiter::Waiter>,
        now: Instant,
    ) {
        let (waiter, code) = match pushed {
            push::Outcome::Queued => return,
            push::Outcome::Displaced(waiter, _) | push::Outcome::Full(waiter) => {
                (waiter, code::Code::Overloaded)
            }
            push::Outcome::TooLate(waiter) => (waiter, code::Code::DeadlineExceeded),
        };
        self.deny(key, &waiter.entry, waiter.reply, code, now);
    }

    /// Refuses queued requests that have waited too long, then starts as many as the
    /// concurrency limit allows.
    fn dispatch(&mut self, key: local::Key, now: Instant) {
        while let Some(waiter) = self
            .targets
            .get_mut(key)
            .and_then(|local| local.expire(now))
        {
            let code = code::Code::Overloaded;
            self.deny(key, &waiter.entry, waiter.reply, code, now);
        }
        while let Some(waiter) = self.targets.get_mut(key).and_then(|local| local.pop(now)) {
            self.start(key, waiter, now);
        }
    }

    fn start(&mut self, local: local::Key, waiter: waiter::Waiter, now: Instant) {
        let Some(random) = self.source.draw() else {
            self.targets[local].record_end(message::End::NotRun, &waiter.entry.route, now);
            let code = code::Code::BufferFull;
            return self.deny(local, &waiter.entry, waiter.reply, code, now);
        };
        let deadline = waiter.entry.deadline;
        let call = call::Call::new(local, waiter.entry, waiter.account, random.clone());
        let key = self.calls.insert(call);
        let permit = permit::Permit {
            call: key,
            context: context::encode(key, &random),
            address: self.targets[local].address,
            deadline,
        };
        if waiter.reply.send(Ok(permit)).is_err() {
            self.end(key, message::End::NotRun, now);
        } else {
            let service = &self.targets[local].announced.service;
            self.counters.permitted(service);
        }
    }

    fn release(
        &mut self,
        key: key::CallKey,
        end: message::End,
        reply: reply::Reply<summary::Summary>,
        now: Instant,
    ) {
        let Some((call, call_failed)) = self.end(key, end, now) else {
            // The call was removed by `sweep`, so the executions in its call tree are
            // unknown.
            let _ = reply.send(without_target(unknown()));
            return;
        };
        let outcome = match end {
            message::End::NotRun | message::End::Unreachable => not_run(call.credit()),
            _ => call.account.close(),
        };
        let summary = match self.targets.get(call.local) {
            Some(local) => summary::Summary {
                call_failed,
                ..local.summary(outcome, now)
            },
            None => without_target(outcome),
        };
        let _ = reply.send(summary);
        self.dispatch(call.local, now);
    }

    /// Records what the target of a running call, sent at `sent`, states in its answer.
    fn observe(&mut self, key: key::CallKey, notice: notice::Notice, sent: Instant, now: Instant) {
        let call = self.calls.get(key);
        let Some(local) = call.and_then(|call| self.targets.get_mut(call.local)) else {
            return;
        };
        if local.observe(notice, sent, now) {
            let service = &local.announced.service;
            let permits = self.counters.permits(service);
            tracing::info!(%service, ?notice, permits, "target has changed its statement");
            self.counters.stated(service, notice.rate_limit);
        }
    }

    /// Removes a call, which cancels its sub-calls. Returns it, and whether its error is due
    /// to a failed call of the target.
    fn end(
        &mut self,
        key: key::CallKey,
        end: message::End,
        now: Instant,
    ) -> Option<(call::Call, bool)> {
        let call = self.calls.remove(key)?;
        let local = self.targets.get_mut(call.local);
        let call_failed = local.is_some_and(|local| local.record_end(end, call.route(), now));
        Some((call, call_failed))
    }

    fn begin_sub_call(&mut self, text: &str) -> Option<origin::Parent> {
        let (key, random) = context::decode(text)?;
        let call = self.calls.get_mut(key)?;
        call.matches(&random).then(|| call.begin_sub_call(key))
    }

    fn end_sub_call(&mut self, key: key::CallKey, outcome: outcome::Outcome) {
        if let Some(call) = self.calls.get_mut(key) {
            call.account.take_back(outcome);
        }
    }

    fn update(&mut self, target: target::Target, address: SocketAddr, now: Instant) {
        if let Some(key) = self.services.get(&target.service).copied() {
            self.targets[key].update(target, address);
            return self.dispatch(key, now);
        }
        let service = target.service.clone();
        let local = local::Target::new(target, address, self.queue_limit, now);
        let key = self.targets.insert(local);
        self.services.insert(service, key);
    }

    fn remove(&mut self, target: &target::Target, now: Instant) {
        let Some(key) = self.services.remove(&target.service) else {
            return;
        };
        for waiter in self.targets[key].drain() {
            let code = code::Code::NoTarget;
            self.deny(key, &waiter.entry, waiter.reply, code, now);
        }
        self.targets.remove(key);
    }

    fn status(&self, now: Instant) -> Vec<(target::Target, summary::Summary)> {
        self.targets
            .values()
            .map(|local| (local.announced.clone(), local.summary(not_run(0), now)))
            .collect()
    }

    /// Removes calls that nobody ended.
    fn sweep(&mut self, now: Instant) {
        self.next_sweep = now + SWEEP_INTERVAL;
        let abandoned: Vec<_> = self
            .calls
            .iter()
            .filter(|(_, call)| call.is_abandoned(now))
            .map(|(key, call)| (key, call.local))
            .collect();
        for (key, local) in abandoned {
            self.end(key, message::End::NotRun, now);
            self.dispatch(local, now);
        }
    }

    fn deny(
        &self,
        key: local::Key,
        entry: &entry::Entry,
        reply: Reply,
        code: code::Code,
        now: Instant,
    ) {
        let summary = self.targets[key].summary(not_run(entry.credit), now);
        self.send_denial(reply, code, summary);
    }

    fn deny_without_target(&self, entry: &entry::Entry, reply: Reply) {
        let summary = without_target(not_run(entry.credit));
        self.send_denial(reply, code::Code::NoTarget, summary);
    }

    fn send_denial(&self, reply: Reply, code: code::Code, summary: summary::Summary) {
        self.counters.denied(code);
        let refusal = refusal::Refusal::new(code, detail(code));
        let _ = reply.send(Err((refusal, summary)));
    }
}

/// Outcome of a call tree in which nothing was executed.
const fn not_run(credit: u8) -> outcome::Outcome {
    outcome::Outcome {
        credit,
        executions: Some(0),
    }
}

/// Outcome of a call tree of which nothing is known; its credit is lost.
const fn unknown() -> outcome::Outcome {
    outcome::Outcome {
        credit: 0,
        executions: None,
    }
}

/// Summary when the target is not or no longer beside this node.
const fn without_target(outcome: outcome::Outcome) -> summary::Summary {
    summary::Summary {
        credit: outcome.credit,
        executions: outcome.executions,
        overload: level::ALL,
        limit: 0,
        in_flight: 0,
        rate_limit: None,
        call_failed: false,
    }
}

/// Detail of a refusal: one sentence for the reader of the answer.
const fn detail(code: code::Code) -> &'static str {
    match code {
        code::Code::Draining => "the target is leaving",
        code::Code::RetryBudget => "the retry credit of the call tree is used up",
        code::Code::Overloaded => "the target has no capacity for this priority",
        code::Code::DeadlineExceeded => "the request could not end before its deadline",
        code::Code::NoTarget => "no target of the service runs beside this node",
        code::Code::TargetEjected => "the target fails",
        _ => "the request cannot run at present",
    }
}
