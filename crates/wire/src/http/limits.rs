//! Limits on what a peer may send.

use std::time::Duration;

/// Largest head. The decoder of `monoio-http` itself buffers heads without a bound,
/// and panics on header names of 64 KiB.
pub const HEAD_BYTES: usize = 32 << 10;
/// Most header lines. The decoder refuses more as well.
pub const HEADERS: usize = 96;
/// Longest header name.
pub const NAME_BYTES: usize = 256;
/// Longest time from the first to the last byte of a head.
pub const HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time from the end of a request's head to the end of its body.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Most bytes of later requests that are buffered before a request is answered.
pub const READ_AHEAD_BYTES: usize = 64 << 10;
/// Most interim answers (1xx) before the final one.
pub const INTERIM_ANSWERS: usize = 4;
