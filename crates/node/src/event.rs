//! Events of a service without sockets: messages, its timer and the stop.

use std::time::Instant;

use futures::FutureExt;
use masticarch_kernel::{mailbox, stop};

/// What a service without sockets waits for.
#[derive(Debug)]
pub enum Event<M> {
    /// A message arrived.
    Message(M),
    /// The time that was passed as `wake` is reached.
    Timer,
    /// The service is asked to stop, or no address of its mailbox is left.
    Stop,
}

/// Waits for the next event; without `wake` there is no timer. A timer that is due
/// comes first, then messages that have already arrived: taking them before a timer
/// is set up saves its cost for each message.
pub async fn next<M>(
    mailbox: &mut mailbox::Mailbox<M>,
    wake: Option<Instant>,
    stop: &stop::Stop,
) -> Event<M> {
    if wake.is_some_and(|wake| wake <= Instant::now()) {
        return Event::Timer;
    }
    if let Some(message) = mailbox.try_receive() {
        return Event::Message(message);
    }
    futures::select_biased! {
        message = mailbox.receive().fuse() => message.map_or(Event::Stop, Event::Message),
        () = stop.wait().fuse() => Event::Stop,
        () = sleep_until(wake).fuse() => Event::Timer,
    }
}

async fn sleep_until(wake: Option<Instant>) {
    match wake {
        Some(wake) => monoio::time::sleep_until(wake.into()).await,
        None => std::future::pending().await,
    }
}
