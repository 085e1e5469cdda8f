//! The file operations that the store uses.

use std::io;

/// A directory with files. Names are file names without a path.
pub trait Disk {
    /// An open file.
    type File: File;

    /// Names of all files.
    ///
    /// # Errors
    /// The error of the operating system, as for all operations here.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads a whole file.
    ///
    /// # Errors
    /// As for [`Disk::list`].
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates a file, or empties an existing one.
    ///
    /// # Errors
    /// As for [`Disk::list`].
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Opens an existing file for appending.
    ///
    /// # Errors
    /// As for [`Disk::list`].
    fn open_append(&self, name: &str) -> io::Result<Self::File>;

    /// Shortens a file and syncs it.
    ///
    /// # Errors
    /// As for [`Disk::list`].
    fn shorten(&self, name: &str, length: u64) -> io::Result<()>;

    /// Renames a file, replacing any file of the new name.
    ///
    /// # Errors
    /// As for [`Disk::list`].
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// As for [`Disk::list`].
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes creations, renames and removals durable.
    ///
    /// # Errors
    /// As for [`Disk::list`].
    fn sync_directory(&self) -> io::Result<()>;
}

/// An open file.
pub trait File {
    /// Writes bytes at the end.
    ///
    /// # Errors
    /// The error of the operating system; some bytes may have been written.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes everything written durable.
    ///
    /// # Errors
    /// The error of the operating system. What was written since the last sync
    /// may then be lost even if a later sync succeeds.
    fn sync(&mut self) -> io::Result<()>;
}
