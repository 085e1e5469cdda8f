//! Calls to the leader of the control group.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticarch_model::{change, code, configuration, edit, version};
use masticarch_wire::message::operator;
use masticarch_wire::{error as wire_error, handshake, masticarch_capnp, message, rpc};

use crate::{error, random, settings};

/// Longest wait for the reply to one attempt, after the connection is made. A
/// process that cannot reach a majority does not reply, and the next address is
/// tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a round of failed attempts at all addresses; about one election
/// timeout.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// Sends calls to the leader; finds it by trying one address after the other.
pub struct Client {
    settings: settings::Settings,
    /// Modulo the number of addresses, the index of the address to try.
    next: usize,
}

/// A failed attempt at one address.
struct Failure {
    detail: String,
    /// Whether the call may have reached the process.
    sent: bool,
    /// Whether the process refused the credential.
    credential_refused: bool,
}

impl Client {
    /// Makes a client that tries the first address first.
    #[must_use]
    pub const fn new(settings: settings::Settings) -> Self {
        Self { settings, next: 0 }
    }

    /// Calls the leader. Tries the addresses in turn until one replies as the
    /// leader or the timeout of the settings has passed. Changes carry an id, so
    /// that sending one again cannot apply it twice.
    ///
    /// # Errors
    /// [`error::Error::Unreachable`], [`error::Error::Credential`], or
    /// [`error::Error::OutcomeUnknown`] when a change may have been applied.
    pub async fn call(
        &mut self,
        request: &operator::Request,
    ) -> Result<operator::Reply, error::Error> {
        let deadline = Instant::now() + self.settings.timeout;
        let bytes = message::encode(request);
        let mut sent = false;
        let mut attempts = 0;
        loop {
            let address = self.settings.control[self.next % self.settings.control.len()];
            let detail = match self.attempt(address, bytes.clone()).await {
                Ok(operator::Reply::NotLeader(_)) => format!("{address} is not the leader"),
                // The process has not carried out the request, and another process
                // leads.
                Ok(operator::Reply::Refused(code::Code::StorageFailed, _)) => {
                    format!("the storage of {address} failed")
                }
                Ok(reply) => return Ok(reply),
                Err(failure) if failure.credential_refused => return Err(error::Error::Credential),
                Err(failure) => {
                    sent |= failure.sent;
                    format!("{address}: {}", failure.detail)
                }
            };
            self.next += 1;
            attempts += 1;
            if Instant::now() >= deadline {
                return Err(timeout_error(request, sent, detail));
            }
            if attempts % self.settings.control.len() == 0 {
                monoio::time::sleep(ROUND_PAUSE).await;
            }
        }
    }

    /// Makes one attempt at one address.
    async fn attempt(
        &self,
        address: SocketAddr,
        bytes: Vec<u8>,
    ) -> Result<operator::Reply, Failure> {
        let role = handshake::Role::Operator;
        let client: masticarch_capnp::operator::Client =
            rpc::connect(address, role, &self.settings.credential)
                .await
                .map_err(|error| Failure {
                    credential_refused: matches!(error, wire_error::Error::Handshake(_)),
                    detail: error.to_string(),
                    sent: false,
                })?;
        let call = async {
            let mut request = client.call_request();
            request.get().set_request(&bytes);
            let response = request.send().promise.await?;
            let reply = response.get()?.get_reply()?;
            message::decode::<operator::Reply>(reply)
        };
        let sent_failure = |detail: String| Failure {
            detail,
            sent: true,
            credential_refused: false,
        };
        monoio::time::timeout(ATTEMPT_TIMEOUT, call)
            .await
            .map_err(|_| sent_failure("no reply in time".into()))?
            .map_err(|error| sent_failure(error.to_string()))
    }

    /// Reads the current configuration and its version.
    ///
    /// # Errors
    /// Those of [`Self::call`].
    pub async fn configuration(
        &mut self,
    ) -> Result<(version::Version, configuration::Configuration), error::Error> {
        match self.call(&operator::Request::Get).await? {
            operator::Reply::Configuration(version, configuration) => Ok((version, *configuration)),
            other => Err(reply_error(other)),
        }
    }

    /// Makes a change with a new random id; sends nothing. `expected` is the
    /// version that the change is based on.
    ///
    /// # Errors
    /// [`error::Error::Random`].
    pub fn change(
        &self,
        expected: version::Version,
        edits: Vec<edit::Edit>,
    ) -> Result<change::Change, error::Error> {
        Ok(change::Change {
            document: None,
            id: u128::from_ne_bytes(random::bytes()?),
            expected,
            operator: self.settings.credential.name().clone(),
            edits,
        })
    }

    /// Commits a change; returns the resulting configuration version.
    ///
    /// # Errors
    /// [`error::Error::Conflict`], [`error::Error::Faulty`], and those of
    /// [`Self::call`].
    pub async fn apply(
        &mut self,
        change: change::Change,
    ) -> Result<version::Version, error::Error> {
        let reply = self.call(&operator::Request::Apply(change)).await?;
        accepted_version(reply)
    }

    /// Checks a change without committing it; returns the configuration version that
    /// would result.
    ///
    /// # Errors
    /// Those of [`Self::apply`].
    pub async fn check(
        &mut self,
        change: change::Change,
    ) -> Result<version::Version, error::Error> {
        let reply = self.call(&operator::Request::Check(change)).await?;
        accepted_version(reply)
    }

    /// Makes a call whose reply carries no value.
    ///
    /// # Errors
    /// Those of [`Self::call`], and [`error::Error::Refused`].
    pub async fn execute(&mut self, request: &operator::Request) -> Result<(), error::Error> {
        match self.call(request).await? {
            operator::Reply::Done | operator::Reply::Accepted(_) => Ok(()),
            other => Err(reply_error(other)),
        }
    }
}

/// The error of a call that timed out. A request that was sent and is not a read
/// may have been applied.
fn timeout_error(request: &operator::Request, sent: bool, detail: String) -> error::Error {
    let is_read = matches!(
        request,
        operator::Request::Get
            | operator::Request::Check(_)
            | operator::Request::History(_)
            | operator::Request::Status
    );
    if sent && !is_read {
        return error::Error::OutcomeUnknown;
    }
    error::Error::Unreachable(detail)
}

fn accepted_version(reply: operator::Reply) -> Result<version::Version, error::Error> {
    match reply {
        operator::Reply::Accepted(version) => Ok(version),
        other => Err(reply_error(other)),
    }
}

/// The error for a reply that is not of the expected kind.
#[must_use]
pub fn reply_error(reply: operator::Reply) -> error::Error {
    match reply {
        operator::Reply::Conflict(current) => error::Error::Conflict(current),
        operator::Reply::Faulty(findings) => error::Error::Faulty(findings),
        operator::Reply::Refused(masticarch_model::code::Code::TimeoutOutcomeUnknown, _) => {
            error::Error::OutcomeUnknown
        }
        operator::Reply::Refused(code, detail) => error::Error::Refused(code, detail),
        other => error::Error::Unreachable(format!("unexpected reply: {other:?}")),
    }
}
