//! A bound on all buffered bodies of a process.

use std::cell::Cell;
use std::rc::Rc;

/// A bound on all buffered bodies; cheap to clone.
#[derive(Clone, Debug)]
pub struct Budget {
    free: Rc<Cell<usize>>,
}

/// Bytes taken from a budget, given back when the last clone is dropped. The
/// default holds none.
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
    /// A budget of this many bytes.
    #[must_use]
    pub fn new(bytes: usize) -> Self {
        Self {
            free: Rc::new(Cell::new(bytes)),
        }
    }

    /// Takes bytes; `None` when fewer are left.
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
    /// Takes more bytes; `false` when fewer are left. A default share takes
    /// none and grows by none.
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
