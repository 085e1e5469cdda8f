//! Service of the gate. It owns the installed directory, the shares of team limits,
//! what is known of targets, and the requests in flight.

use std::rc::Rc;
use std::time::Instant;

use fastrand::Rng;
use masticarch_kernel::{mailbox, stop};

use crate::gate::{message, state};
use crate::{event, metrics, options, suspension};

/// Runs the service until it is asked to stop.
pub async fn run(
    mut mailbox: mailbox::Mailbox<message::Message>,
    options: Rc<options::Options>,
    metrics: metrics::Metrics,
    stop: stop::Stop,
) {
    let mut state = state::State::new(options, metrics, Rng::new(), Instant::now());
    let mut suspension = suspension::Suspension::new();
    loop {
        let event = event::next(&mut mailbox, Some(state.wake()), &stop).await;
        if let Some(time) = suspension.take() {
            state.suspend(time, Instant::now());
        }
        match event {
            event::Event::Message(message) => state.handle(message, Instant::now()),
            event::Event::Timer => state.tick(Instant::now()),
            event::Event::Stop => return,
        }
    }
}
