//! Settings of a node.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use masticarch_model::{name, place};
use masticarch_node::options;

use crate::settings::{document, file};
use crate::{error, log};

/// Largest value of `queue_limit_ms`, the longest time in the admission queue.
const MAX_QUEUE_LIMIT_MS: u64 = 10_000;
/// Largest value of `rate_wait_ms` and `unanswered_rate_wait_ms`, the longest waits for
/// tokens of a team's rate.
const MAX_RATE_WAIT_MS: u64 = 5_000;
/// Largest value of `drain_limit_ms`, the longest drain.
const MAX_DRAIN_LIMIT_MS: u64 = 3_600_000;
/// Largest body that `max_request_bytes` and `max_answer_bytes` may allow.
/// `buffer_bytes` may be four times as large.
const MAX_BODY_BYTES: u64 = 64 << 20;
/// Name of the credential that nodes and control processes share.
pub const FLEET_CREDENTIAL: &str = "fleet";

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Options of the node role.
    pub options: options::Options,
    /// Settings of log lines.
    pub log: log::Settings,
}

/// Settings that may be absent; [`options::Options`] has their defaults.
struct Tuning {
    max_request_bytes: Option<u64>,
    max_answer_bytes: Option<u64>,
    buffer_bytes: Option<u64>,
    queue_limit_ms: Option<u64>,
    rate_wait_ms: Option<u64>,
    unanswered_rate_wait_ms: Option<u64>,
    drain_limit_ms: Option<u64>,
    decisions: Option<bool>,
}

impl Tuning {
    fn read(document: &mut document::Document) -> Self {
        Self {
            max_request_bytes: document.number("max_request_bytes", "bytes", 1, MAX_BODY_BYTES),
            max_answer_bytes: document.number("max_answer_bytes", "bytes", 1, MAX_BODY_BYTES),
            buffer_bytes: document.number("buffer_bytes", "bytes", 1, 4 * MAX_BODY_BYTES),
            queue_limit_ms: document.number(
                "queue_limit_ms",
                "milliseconds",
                1,
                MAX_QUEUE_LIMIT_MS,
            ),
            rate_wait_ms: document.number("rate_wait_ms", "milliseconds", 0, MAX_RATE_WAIT_MS),
            unanswered_rate_wait_ms: document.number(
                "unanswered_rate_wait_ms",
                "milliseconds",
                0,
                MAX_RATE_WAIT_MS,
            ),
            drain_limit_ms: document.number(
                "drain_limit_ms",
                "milliseconds",
                0,
                MAX_DRAIN_LIMIT_MS,
            ),
            decisions: document.optional("decisions", "true or false"),
        }
    }
}

fn to_usize(value: Option<u64>) -> Option<usize> {
    value.and_then(|value| usize::try_from(value).ok())
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// [`error::Error::File`], or [`error::Error::Settings`] with every fault.
    pub fn read(path: &Path) -> Result<Self, error::Error> {
        let mut document = document::Document::read(path)?;
        let settings = Self::parse(&mut document);
        document.finish(settings)
    }

    /// Reads every field, so that all faults are reported; `None` if a required
    /// one is missing or not valid.
    fn parse(document: &mut document::Document) -> Option<Self> {
        let address = "an address as IP:PORT";
        let name = valid_name(document, "name");
        let region = valid_name(document, "region");
        let domain = valid_name(document, "domain");
        let caller: Option<SocketAddr> = document.required("caller", address);
        let peer: Option<SocketAddr> = document.required("peer", address);
        let advertised = document.optional("advertised", address);
        let admin: Option<SocketAddr> = document.required("admin", address);
        let control = control_addresses(document);
        let credential = fleet_credential(document);
        let tuning = Tuning::read(document);
        let log = document.optional("log", "format (text, json) and level");
        let options = options::Options::builder()
            .name(name?)
            .place(place::Place {
                region: region?,
                domain: domain?,
            })
            .caller(caller?)
            .peer(peer?)
            .maybe_advertised(advertised)
            .admin(admin?)
            .control(control?)
            .credential(credential?)
            .maybe_max_request_bytes(to_usize(tuning.max_request_bytes))
            .maybe_max_answer_bytes(to_usize(tuning.max_answer_bytes))
            .maybe_buffer_bytes(to_usize(tuning.buffer_bytes))
            .maybe_queue_limit(tuning.queue_limit_ms.map(Duration::from_millis))
            .maybe_rate_wait(tuning.rate_wait_ms.map(Duration::from_millis))
            .maybe_unanswered_rate_wait(tuning.unanswered_rate_wait_ms.map(Duration::from_millis))
            .maybe_drain_limit(tuning.drain_limit_ms.map(Duration::from_millis))
            .maybe_decisions(tuning.decisions)
            .build();
        Some(Self {
            options,
            log: log.unwrap_or_default(),
        })
    }
}

fn control_addresses(document: &mut document::Document) -> Option<Vec<SocketAddr>> {
    let addresses: Vec<SocketAddr> = document.required(
        "control",
        "a list of member ports of control processes, as IP:PORT",
    )?;
    if addresses.is_empty() {
        document.add_fault("control", "takes at least one address".into());
        return None;
    }
    Some(addresses)
}

/// Takes a required name of 1 to 63 characters of `a-z`, `0-9` and `-`.
pub(crate) fn valid_name(document: &mut document::Document, field: &str) -> Option<name::Name> {
    let expected = "1 to 63 characters of a-z, 0-9 and -";
    let name: name::Name = document.required(field, expected)?;
    if name.is_valid() {
        return Some(name);
    }
    document.add_fault(field, format!("{name} is not {expected}"));
    None
}

/// Takes the path of the file with the fleet's secret and derives the credential
/// from it.
pub(crate) fn fleet_credential(
    document: &mut document::Document,
) -> Option<masticarch_wire::handshake::Credential> {
    let path: PathBuf = document.required("secret_file", "the path of a file with a secret")?;
    let path = file::resolve(document.path(), &path);
    match file::credential(FLEET_CREDENTIAL.into(), &path) {
        Ok(credential) => Some(credential),
        Err(detail) => {
            document.add_fault("secret_file", detail);
            None
        }
    }
}
