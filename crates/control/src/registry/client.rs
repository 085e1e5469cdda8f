//! Client that commits commands and waits for their results.

use masticarch_kernel::address;
use masticarch_model::{code, command, outcome};
use masticarch_wire::message as wire;

use super::message;
use crate::agreement;

/// Proposes commands to the log and gets their results from the registry; cheap to
/// clone.
#[derive(Clone, Debug)]
pub struct Client {
    log: agreement::client::Client,
    registry: address::Address<message::Message>,
}

impl Client {
    /// Makes a client of a log and its registry.
    #[must_use]
    pub const fn new(
        log: agreement::client::Client,
        registry: address::Address<message::Message>,
    ) -> Self {
        Self { log, registry }
    }

    /// Commits a command and returns its result.
    ///
    /// # Errors
    /// The code of the log when the command was not accepted;
    /// [`code::Code::TimeoutOutcomeUnknown`] when it may still be committed.
    pub async fn commit(&self, command: &command::Command) -> Result<outcome::Outcome, code::Code> {
        let index = self.log.propose(wire::encode(command)).await?;
        let asked = self
            .registry
            .ask(|reply| message::Message::Outcome(index, reply));
        match monoio::time::timeout(agreement::client::REQUEST_TIMEOUT, asked).await {
            Ok(Ok(Some(outcome))) => Ok(outcome),
            Ok(Ok(None) | Err(_)) | Err(_) => Err(code::Code::TimeoutOutcomeUnknown),
        }
    }
}
