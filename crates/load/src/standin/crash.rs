//! The service `target`: serves the requests to a stand-in until it crashes, and again
//! once it is back.

use std::time::Duration;

use masticarch_kernel::{address, mailbox, name, stop};
use monoio::net::TcpListener;

use super::{scheduler, settings, target};
use crate::http::server;

/// Name of the service.
pub const NAME: name::Name = name::Name::new("target");
/// End of the path of requests that crash the stand-in.
pub const CRASH_PATH: &str = "/crash";
/// Time between a crash and the next run.
const DOWNTIME: Duration = Duration::from_millis(700);

/// A message to the service.
#[derive(Debug)]
pub enum Message {
    /// Ends the listener and all connections.
    Crash,
}

/// Serves requests until the service stops.
pub async fn serve(
    settings: settings::Settings,
    mut listener: TcpListener,
    (own, mut mailbox): (address::Address<Message>, mailbox::Mailbox<Message>),
    scheduler: address::Address<scheduler::Message>,
    stop: stop::Stop,
) {
    loop {
        let (run, ended) = stop::Stop::new();
        let target = target::Target::new(
            settings.clone(),
            scheduler.clone(),
            own.clone(),
            ended.clone(),
        );
        let crashed = monoio::select! {
            () = server::serve(listener, settings.connections, target, ended) => false,
            message = mailbox.receive() => message.is_some(),
            () = stop.wait() => false,
        };
        drop(run);
        if !crashed || scheduler.send(scheduler::Message::Crashed).await.is_err() {
            return;
        }
        monoio::time::sleep(DOWNTIME).await;
        // Several requests may have crashed the run that has ended.
        while mailbox.try_receive().is_some() {}
        let Ok(next) = TcpListener::bind(settings.address) else {
            return;
        };
        listener = next;
        if scheduler.send(scheduler::Message::Restarted).await.is_err() {
            return;
        }
    }
}
