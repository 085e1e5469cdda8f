//! A data directory in the file system.

use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

use crate::disk;

/// Name of the file that is locked while the directory is in use.
const LOCK_FILE: &str = "lock";

/// A data directory, locked against other processes while this value lives.
#[derive(Debug)]
pub struct Directory {
    path: PathBuf,
    handle: fs::File,
    _lock: fs::File,
}

impl Directory {
    /// Opens a data directory, which is created if it does not exist.
    ///
    /// # Errors
    /// The error of the operating system; `WouldBlock` when another process
    /// uses the directory.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        sync_parent(path)?;
        let lock = fs::File::create(path.join(LOCK_FILE))?;
        lock.try_lock()?;
        Ok(Self {
            path: path.to_owned(),
            handle: fs::File::open(path)?,
            _lock: lock,
        })
    }
}

impl disk::Disk for Directory {
    type File = fs::File;

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for item in fs::read_dir(&self.path)? {
            names.extend(item?.file_name().into_string());
        }
        names.retain(|name| name != LOCK_FILE);
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<fs::File> {
        fs::File::create(self.path.join(name))
    }

    fn open_append(&self, name: &str) -> io::Result<fs::File> {
        let mut options = fs::OpenOptions::new();
        options.append(true).open(self.path.join(name))
    }

    fn shorten(&self, name: &str, length: u64) -> io::Result<()> {
        let mut options = fs::OpenOptions::new();
        let file = options.write(true).open(self.path.join(name))?;
        file.set_len(length)?;
        file.sync_all()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync_directory(&self) -> io::Result<()> {
        self.handle.sync_all()
    }
}

impl disk::File for fs::File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// Makes the creation of a directory durable.
fn sync_parent(path: &Path) -> io::Result<()> {
    let parent = path.canonicalize()?;
    let parent = parent.parent().unwrap_or(&parent);
    fs::File::open(parent)?.sync_all()
}
