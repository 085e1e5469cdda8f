//! Watch of a call of the target beside this node.

use masticarch_kernel::address;

use crate::admission::message;

/// Tells admission that a call of the target beside this node has failed, unless it
/// succeeds: also when the target gives it up, which drops its task.
pub struct Watch {
    admission: Option<address::Address<message::Message>>,
}

impl Watch {
    /// Watches a request if it `is_call`.
    #[must_use]
    pub fn new(admission: &address::Address<message::Message>, is_call: bool) -> Self {
        Self {
            admission: is_call.then(|| admission.clone()),
        }
    }

    /// Records that the call has succeeded.
    pub fn succeed(&mut self) {
        self.admission = None;
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        if let Some(admission) = &self.admission {
            // The message is a hint; it may be lost while admission has much to do.
            let _ = admission.try_send(message::Message::CallFailed);
        }
    }
}
