//! Records: length (u32, little endian), CRC-32 of length and payload, payload.
//!
//! The checksum covers the length too, so that a damaged length is noticed.

/// Bytes before the payload.
const HEADER_BYTES: usize = 8;

/// A record found in a file.
#[derive(Debug)]
pub struct Record<'a> {
    /// Bytes that were passed to [`encode`].
    pub payload: &'a [u8],
    /// Offset after the record.
    pub end: usize,
}

/// Encodes a record; `None` when the payload is 4 GiB or longer.
pub fn encode(payload: &[u8]) -> Option<Vec<u8>> {
    let length = u32::try_from(payload.len()).ok()?.to_le_bytes();
    let crc = checksum(length, payload).to_le_bytes();
    Some([&length[..], &crc, payload].concat())
}

/// Reads the record at an offset, if there is a valid one.
pub fn read(bytes: &[u8], offset: usize) -> Option<Record<'_>> {
    let header = bytes.get(offset..)?.first_chunk::<HEADER_BYTES>()?;
    let [a, b, c, d, crc @ ..] = *header;
    let length = [a, b, c, d];
    let start = offset + HEADER_BYTES;
    let end = start.checked_add(usize::try_from(u32::from_le_bytes(length)).ok()?)?;
    let payload = bytes.get(start..end)?;
    let valid = end > start && checksum(length, payload) == u32::from_le_bytes(crc);
    valid.then_some(Record { payload, end })
}

/// Whether the bytes from an invalid record on can be the remains of an append
/// that a crash interrupted. They cannot if the record ends before the file
/// does, or if a valid record follows: a record is synced before the next one
/// is written. A damaged last record looks like a torn one.
pub fn is_torn(bytes: &[u8], offset: usize) -> bool {
    let tail = &bytes[offset..];
    if tail.iter().all(|byte| *byte == 0) {
        return true;
    }
    let reaches_end = tail.first_chunk::<4>().is_none_or(|length| {
        let length = u64::from(u32::from_le_bytes(*length));
        HEADER_BYTES as u64 + length >= tail.len() as u64
    });
    reaches_end && (offset + 1..bytes.len()).all(|next| read(bytes, next).is_none())
}

fn checksum(length: [u8; 4], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&length);
    hasher.update(payload);
    hasher.finalize()
}
