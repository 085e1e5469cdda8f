//! The addresses of the services of a process, by name.

use std::any::Any;
use std::collections::HashMap;

use crate::{address, error, mailbox, name};

/// Finds the address of a service by its name.
///
/// Names are resolved when services start. The request path uses typed addresses
/// only, so the dynamic type check of a lookup does not run per request.
#[derive(Default)]
pub struct Registry {
    entries: HashMap<name::Name, Box<dyn Any>>,
}

impl Registry {
    /// Makes an empty registry.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a service under a name and returns its mailbox, which holds up to
    /// `capacity` messages.
    ///
    /// # Errors
    /// [`error::Error::Taken`] when the name is in use.
    pub fn register<M: 'static>(
        &mut self,
        name: name::Name,
        capacity: usize,
    ) -> Result<mailbox::Mailbox<M>, error::Error> {
        if self.entries.contains_key(&name) {
            return Err(error::Error::Taken(name));
        }
        let (address, mailbox) = mailbox::Mailbox::<M>::new(capacity);
        self.entries.insert(name, Box::new(address));
        Ok(mailbox)
    }

    /// Looks up the address of a service.
    ///
    /// # Errors
    /// [`error::Error::Unknown`] when no service has this name,
    /// [`error::Error::Mismatch`] when it takes another type of message than `M`.
    pub fn lookup<M: 'static>(
        &self,
        name: name::Name,
    ) -> Result<address::Address<M>, error::Error> {
        let entry = self.entries.get(&name).ok_or(error::Error::Unknown(name))?;
        entry
            .downcast_ref::<address::Address<M>>()
            .cloned()
            .ok_or(error::Error::Mismatch(name))
    }
}
