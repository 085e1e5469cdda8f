//! Tells cheaply whether the quarantine may know a request.

use std::cell::RefCell;
use std::rc::Rc;

use masticarch_model::map;

/// The heads of the requests that the quarantine knows. It is shared with the tasks that
/// run requests, so that a request without a record costs no message and, while there is
/// no record at all, no digest.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    heads: Rc<RefCell<map::Set<u128>>>,
}

impl Filter {
    /// Whether there is no record at all.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.heads.borrow().is_empty()
    }

    /// Whether there may be a record of a request with this head.
    #[must_use]
    pub fn contains(&self, head: u128) -> bool {
        self.heads.borrow().contains(&head)
    }

    /// Replaces the heads.
    pub fn replace(&self, heads: impl Iterator<Item = u128>) {
        let mut held = self.heads.borrow_mut();
        held.clear();
        held.extend(heads);
    }
}
