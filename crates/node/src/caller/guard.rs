//! A request in flight, ended by message whatever becomes of its task.

use std::rc::Rc;
use std::time::Duration;

use masticarch_kernel::task;
use masticarch_model::{code, ran};

use super::ledger;
use crate::admission::key as call;
use crate::admission::message as admission;
use crate::gate::{key, message, report};
use crate::{name, services};

/// A request in flight. When its task is dropped, because the caller went away,
/// the gate, the ledger and the parent call are told all the same.
pub struct Guard {
    services: Rc<services::Services>,
    state: Option<State>,
    attempting: bool,
}

struct State {
    request: key::RequestKey,
    parent: Option<call::CallKey>,
    entry: Option<ledger::Entry>,
}

impl Guard {
    /// Takes over a request that the gate has begun.
    #[must_use]
    pub fn new(
        services: Rc<services::Services>,
        request: key::RequestKey,
        parent: Option<call::CallKey>,
    ) -> Self {
        Self {
            services,
            state: Some(State {
                request,
                parent,
                entry: None,
            }),
            attempting: false,
        }
    }

    /// Notes that the ledger is asked about the request.
    pub fn set_ledger_entry(&mut self, entry: ledger::Entry) {
        if let Some(state) = &mut self.state {
            state.entry = Some(entry);
        }
    }

    /// Notes that an attempt begins.
    pub fn begin_attempt(&mut self) {
        self.attempting = true;
    }

    /// Notes that the gate has been told how the attempt ended.
    pub fn mark_reported(&mut self) {
        self.attempting = false;
    }

    /// Ends the request with the report of its last attempt, unless
    /// the gate has it already. Nobody waits for the messages, so that the answer is not held up.
    pub fn end(mut self, report: Option<report::Report>) {
        self.notify(report);
    }

    fn notify(&mut self, report: Option<report::Report>) {
        let Some(state) = self.state.take() else {
            return;
        };
        if state.parent.is_none() && state.entry.is_none() {
            let end = message::Message::End(state.request, report.clone(), None);
            if self.services.gate.try_send(end).is_ok() {
                return;
            }
        }
        let services = self.services.clone();
        drop(task::spawn(name::CALLER, end(services, state, report)));
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let report = self.attempting.then(cancelled);
        self.notify(report);
    }
}

async fn end(services: Rc<services::Services>, state: State, report: Option<report::Report>) {
    let end = |slot| message::Message::End(state.request, report, Some(slot));
    let Ok(total) = services.gate.ask(end).await else {
        return;
    };
    if let Some(parent) = state.parent {
        let back = admission::Message::Return(parent, total.credit, total.executions);
        let _ = services.admission.send(back).await;
    }
    if let Some(entry) = state.entry {
        entry.end(&services, total.credit, total.executions).await;
    }
}

/// The report of an attempt that the caller did not wait for. The code tells
/// the gate that the target is not to blame.
fn cancelled() -> report::Report {
    report::Report {
        failure: Some(code::Code::OutcomeUnknown),
        status: None,
        ran: ran::Ran::Unknown,
        latency: Duration::ZERO,
        credit: 0,
        executions: None,
        overload: None,
        limit: None,
    }
}
