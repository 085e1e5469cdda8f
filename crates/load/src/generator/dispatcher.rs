//! The service `dispatcher`: sends requests when they are due and records their
//! outcomes.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use masticarch_kernel::{address, mailbox, name, task};

use super::{arrivals, attempt, plan, record, report};
use crate::error;
use crate::http::connection;

/// Name of the service.
pub const NAME: name::Name = name::Name::new("dispatcher");
/// Ended attempts that the mailbox holds before the tasks that report them wait.
const MAILBOX_CAPACITY: usize = 4096;

/// An attempt that is to be sent. Its order is that of `due`, so that the earliest
/// attempt comes first in a min-heap. Times count from the start of the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Pending {
    due: Duration,
    intended: Duration,
    id: record::Id,
    attempt: u32,
}

/// An attempt that has ended, as its task reports it to the dispatcher.
struct Ended {
    pending: Pending,
    entry: usize,
    sent: Duration,
    finished: Duration,
    completion: attempt::Completion,
}

/// The state of the service.
struct Dispatcher {
    plan: plan::Plan,
    started: Instant,
    /// Remaining arrivals, by index of the team.
    arrivals: Vec<arrivals::Arrivals>,
    pending: BinaryHeap<Reverse<Pending>>,
    /// Idle connections, by index of the entry address.
    idle: Vec<Vec<connection::Connection>>,
    in_flight: usize,
    records: Vec<record::Record>,
    /// Address of the mailbox to which attempts report their end.
    own: address::Address<Ended>,
}

/// Runs a plan until every request, including its resends, has been answered or has
/// timed out.
///
/// # Errors
/// [`error::Error::Parse`] when a path or a header value is not valid in HTTP.
pub async fn run(plan: plan::Plan) -> Result<report::Report, error::Error> {
    let (own, mut mailbox) = mailbox::Mailbox::new(MAILBOX_CAPACITY);
    let mut dispatcher = Dispatcher::new(plan, own);
    while dispatcher.in_flight > 0 || !dispatcher.pending.is_empty() {
        dispatcher.send_due()?;
        let next = dispatcher.pending.peek().map(|next| next.0.due);
        let wait = next.map_or(Duration::ZERO, |due| {
            due.saturating_sub(dispatcher.started.elapsed())
        });
        monoio::select! {
            ended = mailbox.receive() => if let Some(ended) = ended {
                dispatcher.finish(ended);
            },
            () = monoio::time::sleep(wait), if next.is_some() => {}
        }
        while let Some(ended) = mailbox.try_receive() {
            dispatcher.finish(ended);
        }
    }
    Ok(report::Report::new(dispatcher.plan, dispatcher.records))
}

impl Dispatcher {
    fn new(plan: plan::Plan, own: address::Address<Ended>) -> Self {
        let arrivals = plan
            .teams
            .iter()
            .zip(plan.seed..)
            .map(|(team, seed)| arrivals::Arrivals::new(&plan.phases, team, seed));
        let mut dispatcher = Self {
            arrivals: arrivals.collect(),
            pending: BinaryHeap::new(),
            idle: plan.entries.iter().map(|_| Vec::new()).collect(),
            started: Instant::now(),
            in_flight: 0,
            records: Vec::new(),
            plan,
            own,
        };
        for team in 0..dispatcher.arrivals.len() {
            dispatcher.schedule(record::Id { team, sequence: 0 });
        }
        dispatcher
    }

    /// Schedules the first attempt of a request at the team's next arrival time, if
    /// the phases have not ended.
    fn schedule(&mut self, id: record::Id) {
        if let Some(due) = self.arrivals[id.team].next() {
            self.pending.push(Reverse(Pending {
                due,
                intended: due,
                id,
                attempt: 0,
            }));
        }
    }

    fn send_due(&mut self) -> Result<(), error::Error> {
        while let Some(Reverse(next)) = self.pending.peek().copied() {
            if next.due > self.started.elapsed() {
                break;
            }
            self.pending.pop();
            self.send(next)?;
            if next.attempt == 0 {
                self.schedule(record::Id {
                    sequence: next.id.sequence + 1,
                    ..next.id
                });
            }
        }
        Ok(())
    }

    fn send(&mut self, pending: Pending) -> Result<(), error::Error> {
        let id = record::request_id(self.plan.seed, pending.id);
        let request = attempt::request(&self.plan.teams[pending.id.team], &id)?;
        let entry = self.entry(pending);
        let address = self.plan.entries[entry];
        let idle = self.idle[entry].pop();
        let timeout = Duration::from_millis(self.plan.timeout_ms);
        let started = self.started;
        let own = self.own.clone();
        self.in_flight += 1;
        task::spawn(NAME, async move {
            let sent = started.elapsed();
            let completion = attempt::run(address, idle, request, timeout).await;
            let ended = Ended {
                pending,
                entry,
                sent,
                finished: started.elapsed(),
                completion,
            };
            let _ = own.send(ended).await;
        });
        Ok(())
    }

    /// Index of the entry address of an attempt. Requests use the entries of their
    /// team in turn (round robin); each resend uses the next one if the team resends
    /// elsewhere.
    fn entry(&self, pending: Pending) -> usize {
        let team = &self.plan.teams[pending.id.team];
        let shift = if team.resend.elsewhere {
            pending.attempt
        } else {
            0
        };
        let turn = pending.id.sequence + u64::from(shift);
        let count = if team.entries.is_empty() {
            self.plan.entries.len()
        } else {
            team.entries.len()
        };
        let turn = usize::try_from(turn % count as u64).unwrap_or(0);
        team.entries.get(turn).copied().unwrap_or(turn)
    }

    fn finish(&mut self, ended: Ended) {
        self.in_flight -= 1;
        if let Some(connection) = ended.completion.connection {
            self.idle[ended.entry].push(connection);
        }
        let mut record = record::Record {
            id: ended.pending.id,
            attempt: ended.pending.attempt,
            last: true,
            entry: ended.entry,
            intended: ended.pending.intended,
            sent: ended.sent,
            ended: ended.finished,
            outcome: ended.completion.outcome,
        };
        let resend = self.plan.teams[record.id.team].resend;
        if !record.is_served() && record.attempt < resend.attempts {
            record.last = false;
            self.pending.push(Reverse(Pending {
                due: ended.finished + Duration::from_millis(resend.backoff_ms),
                attempt: record.attempt + 1,
                ..ended.pending
            }));
        }
        self.records.push(record);
    }
}
