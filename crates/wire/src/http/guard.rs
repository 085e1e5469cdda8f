//! Checks of the raw bytes of a message head, before the decoder gets them.

use memchr::memmem;

use super::{fault, limits};

/// Checks a head against its limits, and returns its length with the final empty
/// line; `None` while the head is not complete.
///
/// # Errors
/// [`fault::Fault::HeadTooLarge`] or [`fault::Fault::Malformed`].
pub fn head_length(bytes: &[u8]) -> Result<Option<usize>, fault::Fault> {
    let bounded = &bytes[..bytes.len().min(limits::HEAD_BYTES)];
    let Some(end) = memmem::find(bounded, b"\r\n\r\n") else {
        if bytes.len() >= limits::HEAD_BYTES {
            return Err(fault::Fault::HeadTooLarge("more than 32 KiB"));
        }
        return Ok(None);
    };
    check_headers(&bounded[..end])?;
    Ok(Some(end + 4))
}

fn check_headers(head: &[u8]) -> Result<(), fault::Fault> {
    let mut count = 0;
    let mut start = 0;
    for end in memmem::find_iter(head, b"\r\n").chain([head.len()]) {
        if start > 0 {
            count += 1;
            check_header(&head[start..end])?;
        }
        start = end + 2;
    }
    if count > limits::HEADERS {
        return Err(fault::Fault::HeadTooLarge("more than 96 headers"));
    }
    Ok(())
}

fn check_header(header: &[u8]) -> Result<(), fault::Fault> {
    if memchr::memchr2(b'\n', b'\r', header).is_some() {
        return Err(fault::Fault::Malformed("bare line break in a header"));
    }
    let Some(colon) = memchr::memchr(b':', header) else {
        return Err(fault::Fault::Malformed("header without a colon"));
    };
    if colon > limits::NAME_BYTES {
        return Err(fault::Fault::HeadTooLarge("header name over 256 bytes"));
    }
    Ok(())
}
