//! Errors of the control role.

use std::net::SocketAddr;

use quick_error::quick_error;

quick_error! {
    /// Why the control role cannot start, or has ended by itself.
    #[derive(Debug)]
    pub enum Error {
        /// A port cannot be opened.
        Listen(address: SocketAddr, source: std::io::Error) {
            source(source)
            display("cannot listen on {address}: {source}")
        }
        /// The data directory cannot be used.
        Journal(source: crate::journal::Error) {
            from()
            source(source)
            display("{source}")
        }
        /// A write to the data directory has failed while the role was running.
        Storage {
            display("the storage has failed; the next start recovers from the data on the disk")
        }
        /// Services cannot be connected.
        Kernel(source: masticarch_kernel::error::Error) {
            from()
            source(source)
            display("services cannot be connected: {source}")
        }
        /// Metrics cannot be defined.
        Metrics(source: prometheus::Error) {
            from()
            source(source)
            display("metrics cannot be defined: {source}")
        }
    }
}

impl Error {
    /// Whether the same may succeed later without any change by an operator, as when a
    /// full disk has room again.
    #[must_use]
    pub fn is_temporary(&self) -> bool {
        match self {
            Self::Storage | Self::Listen(..) => true,
            Self::Journal(failure) => failure.is_temporary(),
            Self::Kernel(_) | Self::Metrics(_) => false,
        }
    }
}
