//! Bodies while they are received.

use bytes::Bytes;

use super::{budget, fault};

/// Smallest allocation of a body whose length is not known.
const MIN_CAPACITY: usize = 1 << 10;

/// A whole body and the memory that is reserved for it.
#[derive(Debug, Default)]
pub struct Body {
    /// The bytes, without transfer coding.
    pub bytes: Bytes,
    /// Memory that is reserved for them.
    pub reservation: budget::Reservation,
}

/// Collects a body of unknown length. All that is allocated is reserved from the budget,
/// also what has not been filled yet.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    max_bytes: usize,
    reservation: budget::Reservation,
}

impl Buffer {
    /// Makes an empty buffer for up to `max_bytes`, whose allocations add to a
    /// reservation.
    #[must_use]
    pub const fn new(max_bytes: usize, reservation: budget::Reservation) -> Self {
        Self {
            bytes: Vec::new(),
            max_bytes,
            reservation,
        }
    }

    /// Bytes that still fit.
    #[must_use]
    pub const fn left(&self) -> usize {
        self.max_bytes - self.bytes.len()
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// [`fault::Fault::BodyTooLarge`] or [`fault::Fault::BufferFull`].
    pub fn extend(&mut self, more: &[u8]) -> Result<(), fault::Fault> {
        if more.len() > self.left() {
            return Err(fault::Fault::BodyTooLarge);
        }
        self.reserve(more.len())?;
        self.bytes.extend_from_slice(more);
        Ok(())
    }

    /// Doubles the allocation until `additional` bytes fit.
    fn reserve(&mut self, additional: usize) -> Result<(), fault::Fault> {
        let needed = self.bytes.len() + additional;
        let current = self.bytes.capacity();
        if needed <= current {
            return Ok(());
        }
        let doubled = (2 * current).max(MIN_CAPACITY).min(self.max_bytes);
        let capacity = doubled.max(needed);
        if !self.reservation.try_grow(capacity - current) {
            return Err(fault::Fault::BufferFull);
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    /// The whole body.
    #[must_use]
    pub fn finish(self) -> Body {
        Body {
            bytes: self.bytes.into(),
            reservation: self.reservation,
        }
    }
}
