//! Addresses at which the control processes are reached.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// Member ports of the control processes; clones share one list. Addresses that the
/// control group has announced come first, then those of the settings, which may be
/// out of date.
#[derive(Clone, Debug)]
pub struct Contacts {
    settings: Rc<RefCell<Vec<SocketAddr>>>,
    addresses: Rc<RefCell<Vec<SocketAddr>>>,
    leader: Rc<Cell<Option<SocketAddr>>>,
}

impl Contacts {
    /// Starts with the member ports of the settings.
    #[must_use]
    pub fn new(settings: &[SocketAddr]) -> Self {
        Self {
            settings: Rc::new(RefCell::new(settings.to_vec())),
            addresses: Rc::new(RefCell::new(settings.to_vec())),
            leader: Rc::default(),
        }
    }

    /// The process that was last known to lead.
    #[must_use]
    pub fn leader(&self) -> Option<SocketAddr> {
        self.leader.get()
    }

    /// Records that a process has answered as the leader.
    pub fn record_leader(&self, address: SocketAddr) {
        self.leader.set(Some(address));
    }

    /// Forgets the leader if it is this process, which does not answer or does not lead.
    pub fn forget_leader(&self, address: SocketAddr) {
        if self.leader.get() == Some(address) {
            self.leader.set(None);
        }
    }

    /// Puts the members that the control group has announced first.
    pub fn update_members(&self, members: &[SocketAddr]) {
        let settings = self.settings.borrow();
        let others = settings.iter().filter(|address| !members.contains(address));
        let addresses = members.iter().chain(others).copied().collect();
        *self.addresses.borrow_mut() = addresses;
    }

    /// Replaces the addresses of the settings. They come first until the group
    /// announces its members again.
    pub fn reload(&self, settings: &[SocketAddr]) {
        *self.settings.borrow_mut() = settings.to_vec();
        let members = self.addresses.borrow().clone();
        let others = members.iter().filter(|address| !settings.contains(address));
        let addresses = settings.iter().chain(others).copied().collect();
        *self.addresses.borrow_mut() = addresses;
    }

    /// The address at a position, modulo their number; `None` when there is none.
    #[must_use]
    pub fn get(&self, position: usize) -> Option<SocketAddr> {
        let addresses = self.addresses.borrow();
        let index = position.checked_rem(addresses.len())?;
        addresses.get(index).copied()
    }
}
