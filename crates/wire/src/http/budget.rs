//! Memory budget for the message bodies that a process buffers.

use std::cell::Cell;
use std::rc::Rc;

/// A bound on the total size of all buffered bodies. Clones share the same budget.
#[derive(Clone, Debug)]
pub struct Budget {
    free: Rc<Cell<usize>>,
}

/// Bytes taken from a budget. They are given back when the last clone is dropped.
/// The default belongs to no budget and holds none.
#[derive(Clone, Debug, Default)]
pub struct Share {
    held: Option<Rc<Held>>,
}

#[derive(Debug)]
struct Held {
    bytes: Cell<usize>,
    free: Rc<Cell<usize>>,
}

impl Drop for Held {
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

    /// Takes bytes from the budget; `None` when fewer are left.
    #[must_use]
    pub fn take(&self, bytes: usize) -> Option<Share> {
        self.free.set(self.free.get().checked_sub(bytes)?);
        let held = Held {
            bytes: Cell::new(bytes),
            free: Rc::clone(&self.free),
        };
        Some(Share {
            held: Some(Rc::new(held)),
        })
    }
}

impl Share {
    /// Takes more bytes from the budget; `false` when fewer are left. The default
    /// can grow by 0 bytes only.
    #[must_use]
    pub fn grow(&self, bytes: usize) -> bool {
        let Some(held) = &self.held else {
            return bytes == 0;
        };
        let Some(left) = held.free.get().checked_sub(bytes) else {
            return false;
        };
        held.free.set(left);
        held.bytes.set(held.bytes.get() + bytes);
        true
    }
}
