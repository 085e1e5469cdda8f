//! The service that owns the limiters and queues of the targets beside this node, and
//! the running calls.

use std::rc::Rc;
use std::time::Instant;

use masticarch_kernel::{mailbox, stop};
use masticarch_policy::limit::{Limiter, unlimited};

use crate::admission::{counters, message, state};
use crate::protocol::Protocol;
use crate::{event, metrics, options};

/// Runs the service until asked to stop.
pub async fn run<P: Protocol>(
    mailbox: mailbox::Mailbox<message::Message>,
    options: Rc<options::Options>,
    metrics: metrics::Metrics,
    stop: stop::Stop,
) {
    let counters = match counters::Counters::new(&metrics) {
        Ok(counters) => counters,
        Err(error) => return tracing::error!(%error, "cannot register the metrics of admission"),
    };
    let (queue_limit, now) = (options.queue_limit, Instant::now());
    if options.decisions {
        let state = state::State::<P::Limiter>::new(queue_limit, true, counters, now);
        serve(mailbox, state, stop).await;
    } else {
        let state = state::State::<unlimited::Unlimited>::new(queue_limit, false, counters, now);
        serve(mailbox, state, stop).await;
    }
}

async fn serve<L: Limiter>(
    mut mailbox: mailbox::Mailbox<message::Message>,
    mut state: state::State<L>,
    stop: stop::Stop,
) {
    loop {
        match event::next(&mut mailbox, Some(state.wake()), &stop).await {
            event::Event::Message(message) => state.handle(message, Instant::now()),
            event::Event::Timer => state.tick(Instant::now()),
            event::Event::Stop => return,
        }
    }
}
