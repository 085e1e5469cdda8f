//! Errors of the store.

use std::io;

use quick_error::quick_error;

quick_error! {
    /// Why the data directory cannot be used.
    #[derive(Debug)]
    pub enum Error {
        /// An operation on a file failed.
        Io(operation: &'static str, file: String, cause: io::Error) {
            display("cannot {operation} {file}: {cause}")
            source(cause)
        }
        /// A file is damaged in a way that an interrupted write does not explain.
        Corrupt(file: String, offset: u64, reason: &'static str) {
            display("{file} is corrupt at offset {offset}: {reason}")
        }
        /// The data directory has no identity: it is new, or the disk was lost.
        Empty {
            display("the data directory holds no identity")
        }
        /// The data directory has been set up already.
        Exists {
            display("the data directory holds data of a member already")
        }
        /// An earlier write failed, so the state of the disk is unknown until
        /// the next start.
        Failed {
            display("an earlier write failed")
        }
    }
}

impl Error {
    /// Adds the operation and the file to an error of the operating system.
    pub(crate) fn io(operation: &'static str, file: &str) -> impl FnOnce(io::Error) -> Self {
        move |cause| Self::Io(operation, file.to_owned(), cause)
    }
}
