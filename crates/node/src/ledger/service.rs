//! Service of the ledger. It owns the table of the request ids whose home is this node.

use std::time::Instant;

use masticarch_kernel::{mailbox, stop};
use masticarch_model::code;
use masticarch_policy::credit::{allowance, outcome};
use masticarch_policy::ledger::{refusal as denial, table};

use crate::ledger::message;
use crate::{event, refusal};

/// Runs the service until it is asked to stop.
pub async fn run(mut mailbox: mailbox::Mailbox<message::Message>, stop: stop::Stop) {
    let mut table = table::Table::default();
    while let event::Event::Message(message) = event::next(&mut mailbox, None, &stop).await {
        handle(&mut table, message, Instant::now());
    }
}

fn handle(table: &mut table::Table, message: message::Message, now: Instant) {
    match message {
        message::Message::Begin {
            id,
            attempt,
            credit,
            deadline,
            reply,
        } => {
            let outcome = table.begin(id, attempt, credit, deadline, now);
            // If the asker no longer waits, its attempt ends at the deadline.
            let _ = reply.send(outcome.map(allowance).map_err(refuse));
        }
        message::Message::End {
            id,
            attempt,
            credit,
            executions,
        } => {
            let outcome = outcome::Outcome { credit, executions };
            table.end(&id, attempt, outcome, now);
        }
    }
}

const fn allowance(allowance: allowance::Allowance) -> message::Allowance {
    message::Allowance {
        credit: allowance.credit,
        repeat: allowance.repeat,
    }
}

fn refuse(denial: denial::Refusal) -> refusal::Refusal {
    match denial {
        denial::Refusal::StillRunning => refusal::Refusal::new(
            code::Code::StillRunning,
            "an earlier attempt with this request id still runs",
        ),
        denial::Refusal::Full => refusal::Refusal::new(
            code::Code::LedgerUnavailable,
            "the home node has no room for another request id",
        ),
    }
}
