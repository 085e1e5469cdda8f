//! The service `announcer`: announces a stand-in to its node periodically.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{Method, Request};
use masticarch_kernel::{address, name, stop};
use serde::Serialize;

use super::{scheduler, settings};
use crate::error;
use crate::http::connection;

/// Name of the service.
pub const NAME: name::Name = name::Name::new("announcer");
/// Time between two announcements; the node removes a target that has not been
/// announced for 3 s.
pub const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of the node's answer to an announcement.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);

/// JSON body of an announcement.
#[derive(Debug, Serialize)]
struct Announcement {
    address: SocketAddr,
    slots: usize,
    connections: usize,
    state: &'static str,
    instance: Instance,
}

/// The run that is announced.
#[derive(Debug, Serialize)]
struct Instance {
    id: &'static str,
    started_ms: u64,
    sequence: u64,
}

/// Announces the stand-in until the service stops; returns at once without an
/// admin port of a node.
pub async fn run(
    settings: settings::Settings,
    scheduler: address::Address<scheduler::Message>,
    stop: stop::Stop,
) {
    let Some(admin) = settings.node_admin else {
        return;
    };
    let started_ms = unix_ms();
    let mut sequence = 0;
    while let Ok(state) = scheduler.ask(scheduler::Message::Describe).await {
        sequence += 1;
        if state.behaviour.announcing {
            let instance = Instance {
                id: "stand-in",
                started_ms: started_ms + state.behaviour.run,
                sequence,
            };
            let announcement = announce(admin, &settings, state.behaviour.draining, instance);
            let _ = monoio::time::timeout(ANSWER_TIMEOUT, announcement).await;
        }
        monoio::select! {
            () = monoio::time::sleep(ANNOUNCEMENT_INTERVAL) => {}
            () = stop.wait() => return,
        }
    }
}

async fn announce(
    admin: SocketAddr,
    settings: &settings::Settings,
    draining: bool,
    instance: Instance,
) -> Result<(), error::Error> {
    let announcement = Announcement {
        address: settings.address,
        slots: settings.slots,
        connections: settings.connections,
        state: if draining { "draining" } else { "serving" },
        instance,
    };
    let body = serde_json::to_vec(&announcement)
        .map_err(|failure| error::Error::Parse(failure.to_string()))?;
    let request = Request::builder()
        .method(Method::PUT)
        .uri(format!("/targets/{}", settings.service))
        .header(http::header::HOST, "node")
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Bytes::from(body))
        .map_err(|failure| error::Error::Parse(failure.to_string()))?;
    connection::exchange(admin, request).await?;
    Ok(())
}

/// The time of day, so that a stand-in that starts again announces a later run.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let milliseconds = since.unwrap_or_default().as_millis();
    u64::try_from(milliseconds).unwrap_or(u64::MAX / 2)
}
