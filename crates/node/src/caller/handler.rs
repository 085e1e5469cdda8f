//! Handles the requests of one connection of a caller.

use std::marker::PhantomData;
use std::rc::Rc;
use std::time::Instant;

use futures::future::{self, Either};
use masticarch_model::{attempt as model, code, ran};
use masticarch_wire::http::{answer, fault, request};

use super::{attempt, claim, encode, guard, ledger, watch};
use crate::admission::message as call;
use crate::claims::reservation;
use crate::gate::{admission, choice, message, report, request as gate};
use crate::protocol::{Protocol, metadata};
use crate::target::job;
use crate::{origin, race, refusal, services, session};

/// Id in the refusal of a request that has no id.
const NO_ID: &str = "";

/// Handles the requests of one connection, one after the other.
pub struct Handler<P> {
    services: Rc<services::Services>,
    connection: u32,
    requests: u32,
    protocol: PhantomData<P>,
}

/// A refusal with the id of its request.
struct Refused {
    refusal: refusal::Refusal,
    id: Box<str>,
}

impl<P: Protocol> Handler<P> {
    /// A handler for the connection with this number, which is part of the ids of its
    /// attempts in the ledger.
    #[must_use]
    pub const fn new(services: Rc<services::Services>, connection: u32) -> Self {
        Self {
            services,
            connection,
            requests: 0,
            protocol: PhantomData,
        }
    }

    async fn begin(&mut self, mut request: request::Request) -> Result<answer::Answer, Refused> {
        let services = Rc::clone(&self.services);
        let metadata = match P::read(&services, &mut request).await {
            Ok(metadata) => metadata,
            Err(refusal) => {
                let id = NO_ID.into();
                return Err(Refused { refusal, id });
            }
        };
        let is_call = is_call(&metadata.request.origin);
        let mut watch = watch::Watch::new(&services.admission, is_call);
        let id: Box<str> = metadata.request.id.as_deref().unwrap_or(NO_ID).into();
        let serving = Box::pin(self.serve(metadata, request));
        let result = match race::race(serving, services.cutoff.wait()).await {
            Either::Left(result) => result,
            Either::Right(()) => Err(Refused {
                refusal: cut_off(),
                id,
            }),
        };
        if has_succeeded(&result) {
            watch.succeed();
        }
        result
    }

    async fn serve(
        &mut self,
        metadata: metadata::Metadata,
        request: request::Request,
    ) -> Result<answer::Answer, Refused> {
        let services = Rc::clone(&self.services);
        let id: Box<str> = metadata.request.id.as_deref().unwrap_or(NO_ID).into();
        let parent = match &metadata.request.origin {
            origin::Origin::SubCall(parent) => Some(parent.clone()),
            origin::Origin::Caller(_) => None,
        };
        let admission = match admit(&services, metadata.request).await {
            Ok(admission) => admission,
            Err(refusal) => {
                return_credit(&services, parent).await;
                return Err(Refused { refusal, id });
            }
        };
        let parent_call = parent.as_ref().map(|parent| parent.call);
        let identity = match metadata.idempotency_key {
            Some(key) => claim::Identity::Key(key),
            None if parent_call.is_some() => claim::Identity::SubCall,
            None if admission.has_stable_id => claim::Identity::Root,
            None => claim::Identity::Generated,
        };
        let guard = guard::Guard::new(services, admission.request, parent_call);
        let root = admission.root.clone();
        let run = Box::pin(self.run(guard, admission, request, identity));
        let result = match race::race(run, parent_end(parent)).await {
            Either::Left(result) => result,
            Either::Right(()) => Err(parent_ended()),
        };
        result.map_err(|refusal| Refused { refusal, id: root })
    }

    async fn run(
        &mut self,
        mut guard: guard::Guard,
        mut admission: admission::Admission,
        request: request::Request,
        identity: claim::Identity,
    ) -> Result<answer::Answer, refusal::Refusal> {
        let decisions = self.services.options.decisions;
        if decisions && admission.has_stable_id {
            // Boxed, so that other requests need no space for this future.
            Box::pin(self.enter_ledger(&mut guard, &mut admission)).await?;
        }
        let mut reservation = None;
        if decisions && !admission.idempotent {
            let claim = claim::claim(&self.services, &admission, identity, &request);
            match Box::pin(claim).await? {
                claim::Outcome::Claimed(claimed) => reservation = Some(claimed),
                claim::Outcome::Unneeded => {}
                claim::Outcome::Kept(kept) => return Ok(encode::kept(&kept, &admission.root)),
            }
        }
        self.make_attempts(guard, &admission, reservation, &request)
            .await
    }

    /// Writes the log line that explains a refused request.
    fn log(&self, refused: &Refused) {
        let refusal = &refused.refusal;
        if self.services.metrics.may_log() {
            tracing::info!(
                request = %refused.id,
                code = refusal.code.number(),
                reason = refusal.code.reason(),
                ran = refusal.ran.as_str(),
                detail = %refusal.detail,
                team = refusal.team.as_deref(),
                node = refusal.node.as_deref(),
                in_flight = self.services.in_flight.count(),
                "request refused"
            );
        }
    }

    /// Enters a request with a caller's id in the ledger of its home node.
    async fn enter_ledger(
        &mut self,
        guard: &mut guard::Guard,
        admission: &mut admission::Admission,
    ) -> Result<(), refusal::Refusal> {
        let services = &self.services;
        let team = admission.team.as_deref().unwrap_or_default();
        let id = format!("{team}/{}", admission.root).into_boxed_str();
        let attempt = model::Attempt {
            node: services.incarnation,
            sequence: u64::from(self.connection) << 32 | u64::from(self.requests),
        };
        let entry = ledger::Entry::find(services, id, attempt).await?;
        guard.set_ledger_entry(entry.clone());
        let credit = admission.choice.credit;
        let allowance = entry.begin(services, credit, admission.deadline).await?;
        let ask = |reply| {
            message::Message::SetCredit(
                admission.request,
                allowance.credit,
                allowance.repeat,
                reply,
            )
        };
        match services.gate.ask(ask).await {
            Ok(Some(choice)) => admission.choice = choice,
            Ok(None) => return Err(no_credit()),
            Err(_) => return Err(refusal::Refusal::draining()),
        }
        Ok(())
    }

    /// Makes attempts until one succeeds or the gate allows no other. The caller then gets
    /// the outcome of the last one that may have run, if there is one: the refusal of a
    /// later attempt would deny that execution.
    async fn make_attempts(
        &self,
        mut guard: guard::Guard,
        admission: &admission::Admission,
        mut reservation: Option<reservation::Reservation>,
        request: &request::Request,
    ) -> Result<answer::Answer, refusal::Refusal> {
        let services = &self.services;
        let mut choice = admission.choice.clone();
        let mut executed = None;
        loop {
            guard.begin_attempt();
            if let Some(reservation) = &mut reservation {
                reservation.mark_sent();
            }
            let begun = Instant::now();
            let outcome = attempt::make::<P>(services, admission, &choice, request).await;
            let report = attempt::report(&outcome, begun.elapsed());
            if is_final(&outcome, admission) {
                settle(reservation, &outcome);
                guard.end(Some(report));
                return finish::<P>(outcome, admission, &choice);
            }
            // `next_choice` sends the report on this attempt to the gate.
            guard.mark_reported();
            let Some(next) = self.next_choice(admission, report).await else {
                settle(reservation, &outcome);
                guard.end(None);
                let executed = executed.filter(|_| !may_have_run(&outcome));
                let (outcome, choice) = executed.unwrap_or((outcome, choice));
                return finish::<P>(outcome, admission, &choice);
            };
            if may_have_run(&outcome) {
                executed = Some((outcome, choice));
            }
            choice = next;
        }
    }

    async fn next_choice(
        &self,
        admission: &admission::Admission,
        report: report::Report,
    ) -> Option<choice::Choice> {
        let ask = |reply| message::Message::Next(admission.request, report, reply);
        self.services.gate.ask(ask).await.ok().flatten()
    }
}

impl<P: Protocol> session::Handler for Handler<P> {
    async fn answer(&mut self, request: request::Request) -> answer::Answer {
        self.requests = self.requests.wrapping_add(1);
        match self.begin(request).await {
            Ok(answer) => {
                self.services.metrics.answered(answer.status.as_u16());
                answer
            }
            Err(refused) => {
                self.services.metrics.refused(refused.refusal.code);
                self.log(&refused);
                P::refuse(&refused.refusal, &refused.id)
            }
        }
    }

    fn refuse(&mut self, fault: &fault::Fault) -> answer::Answer {
        let code = fault.request_code();
        self.services.metrics.refused(code);
        P::refuse(&refusal::Refusal::new(code, fault.to_string()), NO_ID)
    }
}

/// Whether a request may be a call of the target beside this node: it belongs to a running
/// call, or comes without a key.
const fn is_call(origin: &origin::Origin) -> bool {
    match origin {
        origin::Origin::SubCall(_) => true,
        origin::Origin::Caller(key) => key.is_none(),
    }
}

fn has_succeeded(result: &Result<answer::Answer, Refused>) -> bool {
    let answer = result.as_ref();
    answer.is_ok_and(|answer| !answer.status.is_server_error())
}

/// Asks the gate to admit a new request.
async fn admit(
    services: &services::Services,
    request: gate::Request,
) -> Result<admission::Admission, refusal::Refusal> {
    let request = Box::new(request);
    let begin = |reply| message::Message::Begin(request, reply);
    let answer = services.gate.ask(begin).await;
    answer.unwrap_or_else(|_| Err(refusal::Refusal::draining()))
}

/// Ends a sub-call that the gate refused: all credit that it was lent goes back to its
/// parent call.
async fn return_credit(services: &services::Services, parent: Option<origin::Parent>) {
    if let Some(parent) = parent {
        let end = call::Message::EndSubCall(parent.call, parent.credit, Some(0));
        let _ = services.admission.send(end).await;
    }
}

/// Whether no further attempt may follow an outcome. A whole answer is final, unless
/// its status is a server error and the request is idempotent.
fn is_final(outcome: &job::Outcome, admission: &admission::Admission) -> bool {
    outcome
        .result
        .as_ref()
        .is_ok_and(|answer| !(answer.status.is_server_error() && admission.idempotent))
}

/// Whether the target may have run the request.
fn may_have_run(outcome: &job::Outcome) -> bool {
    let refusal = outcome.result.as_ref().err();
    refusal.is_none_or(|refusal| refusal.ran != ran::Ran::No)
}

fn settle(reservation: Option<reservation::Reservation>, outcome: &job::Outcome) {
    if let Some(reservation) = reservation {
        reservation.settle(&outcome.result);
    }
}

/// The answer to the caller, or a refusal that names the node of the attempt.
fn finish<P: Protocol>(
    outcome: job::Outcome,
    admission: &admission::Admission,
    choice: &choice::Choice,
) -> Result<answer::Answer, refusal::Refusal> {
    match outcome.result {
        Ok(answer) => Ok(complete::<P>(answer, admission)),
        Err(refusal) => Err(refusal::Refusal {
            node: Some(choice.node.clone()),
            team: refusal.team.or_else(|| admission.team.clone()),
            ..refusal
        }),
    }
}

fn complete<P: Protocol>(
    mut answer: answer::Answer,
    admission: &admission::Admission,
) -> answer::Answer {
    P::complete(&mut answer, &admission.root);
    answer.keep_alive = true;
    answer
}

/// Waits until the parent of a sub-call has ended; forever without a parent.
async fn parent_end(parent: Option<origin::Parent>) {
    match parent {
        Some(parent) => parent.ended.wait().await,
        None => future::pending().await,
    }
}

fn no_credit() -> refusal::Refusal {
    refusal::Refusal::new(
        code::Code::RetryBudget,
        "the request id has no retry credit left",
    )
}

fn cut_off() -> refusal::Refusal {
    refusal::Refusal::new(
        code::Code::OutcomeUnknown,
        "the node has stopped before the request ended",
    )
}

fn parent_ended() -> refusal::Refusal {
    refusal::Refusal::new(
        code::Code::OutcomeUnknown,
        "the call that this request belongs to has ended",
    )
}
