//! Where control processes are reached.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// Member ports of control processes; cheap to clone. Those that the group has
/// told come first, then those of the settings, which may be out of date.
#[derive(Clone, Debug)]
pub struct Contacts {
    settings: Rc<[SocketAddr]>,
    known: Rc<RefCell<Vec<SocketAddr>>>,
}

impl Contacts {
    /// Starts with the member ports of the settings.
    #[must_use]
    pub fn new(settings: &[SocketAddr]) -> Self {
        Self {
            settings: settings.into(),
            known: Rc::new(RefCell::new(settings.to_vec())),
        }
    }

    /// Takes over what the group tells of its members.
    pub fn learn(&self, members: &[SocketAddr]) {
        let others = self.settings.iter().filter(|one| !members.contains(one));
        let known = members.iter().chain(others).copied().collect();
        *self.known.borrow_mut() = known;
    }

    /// The address to try at a position; positions go round.
    #[must_use]
    pub fn get(&self, position: usize) -> Option<SocketAddr> {
        let known = self.known.borrow();
        let index = position.checked_rem(known.len())?;
        known.get(index).copied()
    }
}
