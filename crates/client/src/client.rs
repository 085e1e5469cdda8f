//! Calls to the leading control process.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticarch_model::{change, code, configuration, edit, version};
use masticarch_wire::message::operator;
use masticarch_wire::{error as wire_error, handshake, masticarch_capnp, message, rpc};

use crate::{error, random, settings};

/// Longest time for one call to one process. A process that has lost its
/// majority answers nothing, and the next one is tried.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after every address was tried without success, about one election
/// timeout.
const ROUND_PAUSE: Duration = Duration::from_millis(300);

/// Sends calls to whichever control process leads.
pub struct Client {
    settings: settings::Settings,
    next: usize,
}

/// Why one try at one address failed.
struct Failure {
    detail: String,
    /// Whether the call may have reached the process.
    sent: bool,
    /// Whether the process refused the credential.
    credential_refused: bool,
}

impl Client {
    /// Makes a client.
    #[must_use]
    pub const fn new(settings: settings::Settings) -> Self {
        Self { settings, next: 0 }
    }

    /// Calls the leader; tries every address until the time is over. Changes
    /// carry an id, so that sending one again cannot apply it twice.
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
                Ok(operator::Reply::NotLeader(_)) => format!("{address} does not lead"),
                // It has carried out nothing, and another process leads.
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
            .map_err(|_| sent_failure("no answer in time".into()))?
            .map_err(|error| sent_failure(error.to_string()))
    }

    /// Reads the present configuration.
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

    /// Makes a change with a fresh id.
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

    /// Commits a change.
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

    /// Checks a change without committing it.
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

    /// Makes a call that is answered with `Done`.
    ///
    /// # Errors
    /// Those of [`Self::call`].
    pub async fn execute(&mut self, request: &operator::Request) -> Result<(), error::Error> {
        match self.call(request).await? {
            operator::Reply::Done | operator::Reply::Accepted(_) => Ok(()),
            other => Err(reply_error(other)),
        }
    }
}

/// The error after the last try: whether a change may have been applied.
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

/// The error behind a reply that is not the expected one.
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
