//! Context handles: each names a running call, and the target sends it with its
//! sub-calls.

use std::fmt::Write;

use slotmap::{Key, KeyData};
use subtle::ConstantTimeEq;

use crate::admission::key;

/// Length of the random part: 128 bits cannot be guessed while a call runs.
const RANDOM_BYTES: usize = 16;
/// Length of the call's key in a handle, in hexadecimal digits.
const KEY_DIGITS: usize = 16;
/// Number of handles for which random bytes are read from the system's generator at
/// once, so that most requests need no system call.
const HANDLES_PER_READ: usize = 64;

/// The random part of a handle. `Debug` does not print it, because it is a secret.
#[derive(Clone)]
pub struct Random([u8; RANDOM_BYTES]);

impl std::fmt::Debug for Random {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Random")
    }
}

impl Random {
    /// Compares in constant time, so that the time does not show where they differ.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

/// Source of random parts: a buffer that is filled from the system's generator.
pub struct Source {
    buffer: [u8; RANDOM_BYTES * HANDLES_PER_READ],
    used: usize,
}

impl Source {
    /// A source that has not read anything yet.
    pub const fn new() -> Self {
        Self {
            buffer: [0; RANDOM_BYTES * HANDLES_PER_READ],
            used: RANDOM_BYTES * HANDLES_PER_READ,
        }
    }

    /// The next random part; `None` when the system's generator fails.
    pub fn draw(&mut self) -> Option<Random> {
        if self.used == self.buffer.len() {
            getrandom::fill(&mut self.buffer).ok()?;
            self.used = 0;
        }
        let mut random = [0; RANDOM_BYTES];
        random.copy_from_slice(&self.buffer[self.used..self.used + RANDOM_BYTES]);
        self.used += RANDOM_BYTES;
        Some(Random(random))
    }
}

/// Encodes a handle: the call's key, then the random part, in hexadecimal.
pub fn encode(key: key::CallKey, random: &Random) -> Box<str> {
    let mut text = String::with_capacity(KEY_DIGITS + 2 * RANDOM_BYTES);
    let value = u128::from_be_bytes(random.0);
    // Writing to a string cannot fail.
    let _ = write!(text, "{:016x}{value:032x}", key.data().as_ffi());
    text.into()
}

/// Decodes a handle; `None` when the text is not one.
pub fn decode(text: &str) -> Option<(key::CallKey, Random)> {
    let is_hexadecimal = text.bytes().all(|byte| byte.is_ascii_hexdigit());
    if text.len() != KEY_DIGITS + 2 * RANDOM_BYTES || !is_hexadecimal {
        return None;
    }
    let (key, random) = text.split_at(KEY_DIGITS);
    let key = KeyData::from_ffi(u64::from_str_radix(key, 16).ok()?);
    let random = u128::from_str_radix(random, 16).ok()?;
    Some((key.into(), Random(random.to_be_bytes())))
}
