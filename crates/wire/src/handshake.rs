//! Mutual authentication of the two sides of a new connection.
//!
//! Both sides prove that they know the shared secret without sending it, before any
//! other data is exchanged. The handshake does not encrypt the connection.

use std::time::Duration;

use masticarch_model::name;
use monoio::io::{AsyncReadRent, AsyncReadRentExt, AsyncWriteRent, AsyncWriteRentExt};
use subtle::ConstantTimeEq;

use crate::error;

/// First bytes that the client sends.
const MAGIC: [u8; 4] = *b"MAST";
/// Version of the handshake protocol.
const PROTOCOL: u8 = 1;
const NONCE_BYTES: usize = 32;
const PROOF_BYTES: usize = 32;
const HELLO_BYTES: usize = 6 + name::MAX_BYTES + NONCE_BYTES + 1;
/// Longest time for the whole handshake.
pub const TIMEOUT: Duration = Duration::from_secs(1);
/// Context string of the key derivation. The same secret gives other keys under
/// another context.
const KEY_CONTEXT: &str = "masticarch 2026-12-04 membership handshake v1";

/// What a connection is for. A proof for one role is not valid for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Calls of nodes and control processes to a member port.
    Member = 1,
    /// HTTP requests between nodes.
    Peer = 2,
    /// Calls of operators to an operator port.
    Operator = 3,
}

/// A named key that is derived from a shared secret. Its `Debug` form shows the
/// name only.
#[derive(Clone)]
pub struct Credential {
    name: name::Name,
    key: [u8; 32],
}

impl std::fmt::Debug for Credential {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Credential({})", self.name)
    }
}

impl Credential {
    /// Derives the key from the text of a secret. The client sends the name, by
    /// which the server finds its own copy of the credential.
    #[must_use]
    pub fn new(name: name::Name, secret: &str) -> Self {
        let key = blake3::derive_key(KEY_CONTEXT, secret.as_bytes());
        Self { name, key }
    }

    /// A credential with a random key, whose proof no client can give.
    fn random() -> Result<Self, error::Error> {
        Ok(Self {
            name: name::Name::new(""),
            key: nonce()?,
        })
    }

    /// The name of the credential.
    #[must_use]
    pub const fn name(&self) -> &name::Name {
        &self.name
    }

    fn proof(&self, side: &[u8], hello: &[u8], nonce: &[u8]) -> [u8; PROOF_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(side).update(hello).update(nonce);
        *hasher.finalize().as_bytes()
    }
}

fn nonce() -> Result<[u8; NONCE_BYTES], error::Error> {
    let mut bytes = [0; NONCE_BYTES];
    getrandom::fill(&mut bytes)
        .map_err(|_| error::Error::Handshake("the operating system gives no random bytes"))?;
    Ok(bytes)
}

/// The client's first message: magic, protocol, role, length and text of the
/// credential's name, padding up to a fixed size, and a nonce.
fn hello(role: Role, name: &name::Name) -> Result<Vec<u8>, error::Error> {
    let length = u8::try_from(name.len())
        .ok()
        .filter(|length| usize::from(*length) <= name::MAX_BYTES)
        .ok_or(error::Error::Handshake(
            "name of the credential is too long",
        ))?;
    let mut bytes = Vec::with_capacity(HELLO_BYTES);
    bytes.extend_from_slice(&MAGIC);
    bytes.push(PROTOCOL);
    bytes.push(role as u8);
    bytes.push(length);
    bytes.extend_from_slice(name.as_bytes());
    bytes.resize(HELLO_BYTES - NONCE_BYTES, 0);
    bytes.extend_from_slice(&nonce()?);
    Ok(bytes)
}

fn parse_hello(hello: &[u8], role: Role) -> Result<name::Name, error::Error> {
    if hello[..4] != MAGIC || hello[4] != PROTOCOL {
        return Err(error::Error::Handshake(
            "the client speaks another protocol or version",
        ));
    }
    if hello[5] != role as u8 {
        return Err(error::Error::Handshake(
            "the client connects for another role",
        ));
    }
    let length = usize::from(hello[6]).min(name::MAX_BYTES);
    std::str::from_utf8(&hello[7..7 + length])
        .map(name::Name::new)
        .map_err(|_| error::Error::Handshake("the name of the credential is not UTF-8"))
}

/// Authenticates both sides, as the side that opened the connection.
///
/// # Errors
/// [`error::Error::Handshake`] when the server does not know the secret,
/// [`error::Error::Timeout`] after [`TIMEOUT`].
pub async fn connect<S>(
    stream: &mut S,
    role: Role,
    credential: &Credential,
) -> Result<(), error::Error>
where
    S: AsyncReadRent + AsyncWriteRent,
{
    let exchange = async {
        let hello = hello(role, &credential.name)?;
        stream.write_all(hello.clone()).await.0?;
        let (read, reply) = stream
            .read_exact(vec![0_u8; NONCE_BYTES + PROOF_BYTES])
            .await;
        read?;
        let (nonce, proof) = reply.split_at(NONCE_BYTES);
        let expected = credential.proof(b"server", &hello, nonce);
        if !bool::from(expected.ct_eq(proof)) {
            return Err(error::Error::Handshake(
                "the server does not know the secret",
            ));
        }
        let proof = credential.proof(b"client", &hello, nonce);
        stream.write_all(proof.to_vec()).await.0?;
        Ok(())
    };
    monoio::time::timeout(TIMEOUT, exchange)
        .await
        .map_err(|_| error::Error::Timeout)?
}

/// Authenticates both sides, as the side that accepted the connection, and returns
/// the name of the client's credential.
///
/// # Errors
/// [`error::Error::Handshake`] when the client does not know the secret of a
/// credential in the list, [`error::Error::Timeout`] after [`TIMEOUT`].
pub async fn accept<S>(
    stream: &mut S,
    role: Role,
    credentials: &[Credential],
) -> Result<name::Name, error::Error>
where
    S: AsyncReadRent + AsyncWriteRent,
{
    let exchange = async {
        let (read, hello) = stream.read_exact(vec![0_u8; HELLO_BYTES]).await;
        read?;
        let name = parse_hello(&hello, role)?;
        // A client with an unknown name gets a reply as well, so that it learns
        // only that its credential is not accepted, and not which names exist.
        let known = credentials
            .iter()
            .find(|credential| credential.name == name);
        let credential = known.cloned().map_or_else(Credential::random, Ok)?;
        let nonce = nonce()?;
        let mut reply = nonce.to_vec();
        reply.extend_from_slice(&credential.proof(b"server", &hello, &nonce));
        stream.write_all(reply).await.0?;
        let (read, proof) = stream.read_exact(vec![0_u8; PROOF_BYTES]).await;
        read?;
        let expected = credential.proof(b"client", &hello, &nonce);
        if !bool::from(expected.ct_eq(&proof)) {
            return Err(error::Error::Handshake(
                "the client does not know the secret",
            ));
        }
        Ok(name)
    };
    monoio::time::timeout(TIMEOUT, exchange)
        .await
        .map_err(|_| error::Error::Timeout)?
}
