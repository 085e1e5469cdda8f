//! Limits on what a peer may send.

use std::time::Duration;

/// Largest head. The decoder of `monoio-http` panics on header names of 64 KiB
/// and buffers heads without a bound.
pub const HEAD_BYTES: usize = 32 << 10;
/// Most header lines; the decoder refuses more.
pub const HEADERS: usize = 96;
/// Longest header name.
pub const NAME_BYTES: usize = 256;
/// Longest time from the first to the last byte of a head.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for a request body after its head.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Most bytes that are read ahead while an answer is awaited.
pub const READ_AHEAD_BYTES: usize = 64 << 10;
/// Most interim answers (1xx) before the final one.
pub const INTERIM_ANSWERS: usize = 4;
