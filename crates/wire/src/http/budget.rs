//! Memory budget for the messages that a process buffers.

use std::cell::Cell;
use std::rc::Rc;

/// A bound on the total size of what is buffered. Clones share the same budget.
#[derive(Clone, Debug)]
pub struct Budget {
    free: Rc<Cell<usize>>,
}

/// Bytes reserved from a budget. They are released when the last clone is dropped.
/// The default belongs to no budget and holds none.
#[derive(Clone, Debug, Default)]
pub struct Reservation {
    allocation: Option<Rc<Allocation>>,
}

#[derive(Debug)]
struct Allocation {
    bytes: Cell<usize>,
    free: Rc<Cell<usize>>,
}

impl Drop for Allocation {
    fn drop(&mut self) {
        self.free.set(self.free.get() + self.bytes.get());
    }
}

impl Budget {
    /// Makes a budget of this many bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            free: Rc::new(Cell::new(bytes)),
        }
    }

    /// Reserves bytes; `None` when fewer are left.
    #[must_use]
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        self.free.set(self.free.get().checked_sub(bytes)?);
        let allocation = Allocation {
            bytes: Cell::new(bytes),
            free: Rc::clone(&self.free),
        };
        Some(Reservation {
            allocation: Some(Rc::new(allocation)),
        })
    }
}

impl Reservation {
    /// Reserves more bytes; `false` when fewer are left. The default can grow by 0
    /// bytes only.
    #[must_use]
    pub fn try_grow(&self, bytes: usize) -> bool {
        let Some(allocation) = &self.allocation else {
            return bytes == 0;
        };
        let Some(left) = allocation.free.get().checked_sub(bytes) else {
            return false;
        };
        allocation.free.set(left);
        allocation.bytes.set(allocation.bytes.get() + bytes);
        true
    }

    /// Reserves as many more bytes as it takes to hold this many; `false` when fewer
    /// are left.
    #[must_use]
    pub fn try_cover(&self, bytes: usize) -> bool {
        let allocation = self.allocation.as_ref();
        let held = allocation.map_or(0, |allocation| allocation.bytes.get());
        self.try_grow(bytes.saturating_sub(held))
    }
}
