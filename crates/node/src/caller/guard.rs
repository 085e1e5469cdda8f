//! Guard of a request in flight, which ends it when its task is dropped.

use std::rc::Rc;
use std::time::Duration;

use masticarch_kernel::task;
use masticarch_model::{code, ran};

use super::ledger;
use crate::admission::key as call;
use crate::admission::message as admission;
use crate::gate::{key, message, report};
use crate::{name, services};

/// Ends a request in flight exactly once: by [`Self::end`], or when it is dropped with
/// its task because the caller disconnected. The gate, the ledger and the parent call
/// are told of the end.
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
    /// Guards a request that the gate has admitted. `parent` is the running call that a
    /// sub-call belongs to.
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

    /// Sets the entry of the request in the ledger, which is ended with the request.
    pub fn set_ledger_entry(&mut self, entry: ledger::Entry) {
        if let Some(state) = &mut self.state {
            state.entry = Some(entry);
        }
    }

    /// Marks that an attempt begins. A drop from now on reports it as cancelled.
    pub fn begin_attempt(&mut self) {
        self.attempting = true;
    }

    /// Marks that the report on the attempt goes to the gate by another message.
    pub fn mark_reported(&mut self) {
        self.attempting = false;
    }

    /// Ends the request with the report of its last attempt; `None` when the gate already
    /// has it. The messages are sent in the background, so that the answer need not
    /// wait for them.
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
    let end = |reply| message::Message::End(state.request, report, Some(reply));
    let Ok(total) = services.gate.ask(end).await else {
        return;
    };
    if let Some(parent) = state.parent {
        let end = admission::Message::EndSubCall(parent, total.credit, total.executions);
        let _ = services.admission.send(end).await;
    }
    if let Some(entry) = state.entry {
        entry.end(&services, total.credit, total.executions).await;
    }
}

/// The report on an attempt that was cancelled because the caller disconnected. Its
/// code does not count as a failure of the target.
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
        rate_limit: None,
        leaving: None,
        call_failed: false,
    }
}
