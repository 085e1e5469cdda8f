//! Errors of lookups and of messages between services.

use quick_error::quick_error;

use crate::name;

quick_error! {
    /// Why a service cannot be registered, found or reached.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum Error {
        /// No service has this name.
        Unknown(name: name::Name) {
            display("no service is named {name}")
        }
        /// A service with this name is registered already.
        Taken(name: name::Name) {
            display("a service named {name} is registered already")
        }
        /// The service takes messages of another type.
        Mismatch(name: name::Name) {
            display("service {name} takes messages of another type")
        }
        /// The service has stopped, or dropped the request without a reply.
        Closed {
            display("the service has stopped")
        }
        /// The mailbox of the service is full.
        Full {
            display("the mailbox of the service is full")
        }
    }
}
