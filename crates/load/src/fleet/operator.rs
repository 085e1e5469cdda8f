//! Client for operators' calls to the control processes of a fleet.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use masticarch_model::{change, code, configuration, edit, kind, name, object, version};
use masticarch_wire::handshake;
use masticarch_wire::message::{operator, status};

use super::session;
use crate::error;

/// Timeout of one call to one control process.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two attempts of a call, and between two checks of the status.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time within which a leader must answer.
const LEADER_TIMEOUT: Duration = Duration::from_secs(15);

/// Operator client of a fleet.
#[derive(Clone, Debug)]
pub struct Operator {
    addresses: Vec<SocketAddr>,
    credential: handshake::Credential,
}

impl Operator {
    /// Creates a client that calls the given operator ports.
    #[must_use]
    pub const fn new(addresses: Vec<SocketAddr>, credential: handshake::Credential) -> Self {
        Self {
            addresses,
            credential,
        }
    }

    /// Makes a call, trying one control process after the other until the leader
    /// answers. Changes carry an id, so that repeating them is safe.
    ///
    /// # Errors
    /// [`error::Error::Timeout`] when no leader answers.
    pub async fn call(&self, request: &operator::Request) -> Result<operator::Reply, error::Error> {
        let started = Instant::now();
        let mut addresses = self.addresses.iter().copied().cycle();
        while started.elapsed() < LEADER_TIMEOUT {
            let Some(address) = addresses.next() else {
                break;
            };
            match self.ask(address, request).await {
                Ok(
                    operator::Reply::NotLeader(_)
                    | operator::Reply::Refused(code::Code::StorageFailed, _),
                )
                | Err(_) => monoio::time::sleep(POLL_INTERVAL).await,
                Ok(reply) => return Ok(reply),
            }
        }
        Err(error::Error::Timeout("a leader".into()))
    }

    /// Makes a call to one control process, without a retry.
    ///
    /// # Errors
    /// [`error::Error::Timeout`] or [`error::Error::Wire`] when no answer comes; the
    /// call may have been executed nevertheless.
    pub async fn ask(
        &self,
        address: SocketAddr,
        request: &operator::Request,
    ) -> Result<operator::Reply, error::Error> {
        let exchange = async {
            let session = self.session(address).await?;
            session.call(request).await
        };
        monoio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .map_err(|_| error::Error::Timeout(format!("{address} to answer")))?
    }

    /// Opens a connection to one control process.
    ///
    /// # Errors
    /// [`error::Error::Wire`] when the handshake fails.
    pub async fn session(&self, address: SocketAddr) -> Result<session::Session, error::Error> {
        session::Session::open(address, &self.credential).await
    }

    /// Creates a client with the same credential that calls other addresses.
    #[must_use]
    pub fn with_addresses(&self, addresses: Vec<SocketAddr>) -> Self {
        Self::new(addresses, self.credential.clone())
    }

    /// Adds the operator port of a control process.
    pub fn add_address(&mut self, address: SocketAddr) {
        self.addresses.push(address);
    }

    /// Replaces the whole configuration.
    ///
    /// # Errors
    /// [`error::Error::Refused`] when the configuration is not accepted.
    pub async fn replace(
        &self,
        configuration: configuration::Configuration,
    ) -> Result<version::Version, error::Error> {
        self.change(vec![edit::Edit::Replace(configuration)]).await
    }

    /// Withdraws the key with this name.
    ///
    /// # Errors
    /// [`error::Error::Refused`] when the key does not exist.
    pub async fn withdraw_key(&self, key: &str) -> Result<version::Version, error::Error> {
        let (_, configuration) = self.configuration().await?;
        let entry = configuration
            .keys
            .into_iter()
            .find(|entry| entry.name.as_str() == key);
        let mut entry = entry.ok_or_else(|| {
            error::Error::Refused(format!("no {} is named {key}", kind::Kind::Key))
        })?;
        entry.withdrawn = true;
        self.change(vec![edit::Edit::Put(object::Object::Key(entry))])
            .await
    }

    /// Applies edits to the current configuration and returns the new version.
    ///
    /// # Errors
    /// [`error::Error::Refused`] when the edits are not accepted.
    pub async fn change(&self, edits: Vec<edit::Edit>) -> Result<version::Version, error::Error> {
        let (expected, _) = self.configuration().await?;
        let change = change::Change {
            document: None,
            id: fastrand::u128(..),
            expected,
            operator: self.credential.name().clone(),
            edits,
        };
        match self.call(&operator::Request::Apply(change)).await? {
            operator::Reply::Accepted(version) => Ok(version),
            other => Err(refused(&other)),
        }
    }

    /// Returns the current configuration and its version.
    ///
    /// # Errors
    /// [`error::Error::Refused`] when the call is refused.
    pub async fn configuration(
        &self,
    ) -> Result<(version::Version, configuration::Configuration), error::Error> {
        match self.call(&operator::Request::Get).await? {
            operator::Reply::Configuration(version, configuration) => Ok((version, *configuration)),
            other => Err(refused(&other)),
        }
    }

    /// Returns the status of the fleet.
    ///
    /// # Errors
    /// [`error::Error::Refused`] when the call is refused.
    pub async fn status(&self) -> Result<status::Status, error::Error> {
        match self.call(&operator::Request::Status).await? {
            operator::Reply::Status(status) => Ok(*status),
            other => Err(refused(&other)),
        }
    }

    /// Waits until all given nodes report that they hold a version of the configuration
    /// or a later one.
    ///
    /// # Errors
    /// [`error::Error::Timeout`] when a node does not hold it after the timeout.
    pub async fn wait_applied(
        &self,
        version: version::Version,
        nodes: &[name::Name],
        timeout: Duration,
    ) -> Result<(), error::Error> {
        let started = Instant::now();
        while started.elapsed() < timeout {
            let status = self.status().await?;
            let holds = |wanted: &name::Name| {
                let mut known = status.nodes.iter();
                known.any(|node| node.name == *wanted && node.held >= version)
            };
            if nodes.iter().all(holds) {
                return Ok(());
            }
            monoio::time::sleep(POLL_INTERVAL).await;
        }
        Err(error::Error::Timeout(format!(
            "version {version} on every node"
        )))
    }
}

fn refused(reply: &operator::Reply) -> error::Error {
    error::Error::Refused(format!("{reply:?}"))
}
