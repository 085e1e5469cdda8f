//! Turn of a suspect that runs in isolation.

use masticarch_kernel::{address, task};
use masticarch_model::name;

use super::message;
use crate::name as names;

/// Lets a suspect run in isolation until it is dropped, even if nobody has received it.
#[derive(Debug)]
pub struct Turn {
    quarantine: address::Address<message::Message>,
    service: name::Name,
}

impl Turn {
    /// A turn at the target of a service.
    #[must_use]
    pub const fn new(quarantine: address::Address<message::Message>, service: name::Name) -> Self {
        Self {
            quarantine,
            service,
        }
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        let quarantine = self.quarantine.clone();
        let end = message::Message::End(self.service.clone());
        drop(task::spawn(names::QUARANTINE, async move {
            let _ = quarantine.send(end).await;
        }));
    }
}
