//! API keys with their secret: `mk_<id>_<secret>`, or any text that another system
//! has issued and an operator has configured.

use std::fmt;

use subtle::ConstantTimeEq;

/// Bytes of the public id.
pub const ID_BYTES: usize = 8;
/// Context string of the hash from which the id of another system's key is derived.
const EXTERNAL_ID_CONTEXT: &str = "masticarch 2026 id of a foreign key";
/// Bytes of the secret.
pub const SECRET_BYTES: usize = 32;

/// An API key with its secret, as a caller presents it. Its `Debug` form shows
/// the id only.
#[derive(Clone)]
pub struct Secret {
    /// Public id.
    pub id: [u8; ID_BYTES],
    secret: Vec<u8>,
}

impl Secret {
    /// Makes a key from an id and a secret, both random bytes.
    #[must_use]
    pub fn new(id: [u8; ID_BYTES], secret: [u8; SECRET_BYTES]) -> Self {
        Self {
            id,
            secret: secret.into(),
        }
    }

    /// Reads `mk_<id>_<secret>`; `None` when the text has another form.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (id, secret) = text.strip_prefix("mk_")?.split_once('_')?;
        Some(Self {
            id: decode(id)?,
            secret: decode::<SECRET_BYTES>(secret)?.into(),
        })
    }

    /// Makes a key from a text that another system has issued. The public id is
    /// derived from the text, and the whole text is the secret.
    #[must_use]
    pub fn external(text: &str) -> Self {
        let digest = blake3::derive_key(EXTERNAL_ID_CONTEXT, text.as_bytes());
        let mut id = [0; ID_BYTES];
        id.copy_from_slice(&digest[..ID_BYTES]);
        Self {
            id,
            secret: text.into(),
        }
    }

    /// The text `mk_<id>_<secret>` for the caller; shown once, never logged.
    #[must_use]
    pub fn reveal(&self) -> String {
        format!("mk_{}_{}", encode(&self.id), encode(&self.secret))
    }

    /// The hash that is stored in place of the secret.
    #[must_use]
    pub fn hash(&self) -> [u8; 32] {
        *blake3::hash(&self.secret).as_bytes()
    }

    /// Whether the secret has this hash. The comparison takes constant time.
    #[must_use]
    pub fn matches(&self, hash: &[u8; 32]) -> bool {
        self.hash().ct_eq(hash).into()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Secret({})", encode(&self.id))
    }
}

/// Bytes as lower-case hexadecimal digits.
#[must_use]
pub fn encode(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes
        .iter()
        .fold(String::with_capacity(bytes.len() * 2), |mut text, byte| {
            let _ = write!(text, "{byte:02x}");
            text
        })
}

/// `N` bytes from hexadecimal digits; `None` when the text has another length or
/// other characters.
fn decode<const N: usize>(text: &str) -> Option<[u8; N]> {
    if text.len() != N * 2 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; N];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[index * 2..index * 2 + 2], 16).ok()?;
    }
    Some(bytes)
}
