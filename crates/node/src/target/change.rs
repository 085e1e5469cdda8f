//! Changes of the local targets, as targets ask for them.

use masticarch_model::{code, target};

use super::message;
use crate::services;
use crate::sync::message as sync;

/// Applies an announcement or a withdrawal. If it says that a run is leaving or gone,
/// waits until the control leader has recorded that, so that it holds after a restart of
/// this node too.
///
/// # Errors
/// [`code::Code::Draining`] when the node stops, and [`code::Code::NoQuorum`] when the
/// control leader has not answered in time. The change is in effect at this node then, but
/// must not be acknowledged.
pub async fn apply(
    services: &services::Services,
    change: message::Message,
) -> Result<(), code::Code> {
    let departs = departs(&change);
    let sent = services.target.send(change).await;
    sent.map_err(|_| code::Code::Draining)?;
    if !departs {
        return Ok(());
    }
    match services.sync.ask(sync::Message::Report).await {
        Ok(true) => Ok(()),
        Ok(false) => Err(code::Code::NoQuorum),
        Err(_) => Err(code::Code::Draining),
    }
}

/// Whether a change names a run that is leaving or gone.
fn departs(change: &message::Message) -> bool {
    match change {
        message::Message::Announce(_, announcement) => {
            announcement.state == target::State::Draining && announcement.instance.is_some()
        }
        message::Message::Withdraw(_, withdrawal) => withdrawal.names_run(),
        _ => false,
    }
}
