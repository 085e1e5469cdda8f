//! A simulated disk that fails or crashes at a chosen step, and fixtures.
#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

use masticarch_store::{batch, contents, disk, entry, error, options, request, snapshot, store};

/// What happens at the chosen step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process and the machine stop; of an append, half the bytes are written.
    Crash,
    /// The operation fails once; of an append, half the bytes are written.
    Error(io::ErrorKind),
}

/// What a crash leaves of names and bytes that were not synced.
#[derive(Clone, Copy, Debug)]
pub enum Rest {
    /// Nothing.
    Lost,
    /// Names, and the first half of the bytes.
    Torn,
    /// Everything.
    Kept,
}

#[derive(Clone, Default)]
struct Inode {
    data: Vec<u8>,
    /// Number of leading bytes that are synced.
    synced: usize,
}

#[derive(Default)]
struct State {
    inodes: Vec<Inode>,
    /// Index of the inode of each file name.
    names: BTreeMap<String, usize>,
    /// The names at the last sync of the directory.
    synced_names: BTreeMap<String, usize>,
    step: usize,
    fault: Option<(usize, Fault)>,
    crashed: bool,
}

impl State {
    /// Counts a step that changes the disk, and fails if that is the chosen one.
    fn step(&mut self) -> io::Result<()> {
        if self.crashed {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        let step = self.step;
        self.step += 1;
        match self.fault {
            Some((at, Fault::Error(kind))) if at == step => Err(kind.into()),
            Some((at, Fault::Crash)) if at == step => {
                self.crashed = true;
                Err(io::ErrorKind::BrokenPipe.into())
            }
            _ => Ok(()),
        }
    }

    fn inode(&mut self, name: &str) -> io::Result<usize> {
        let found = self.names.get(name).copied();
        found.ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

/// A simulated disk; clones share it.
#[derive(Clone, Default)]
pub struct Disk(Arc<Mutex<State>>);

/// An open file of a simulated disk.
pub struct File {
    disk: Disk,
    inode: usize,
}

impl Disk {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// Makes a step fail; steps are counted from 0 at this call.
    pub fn fail_at(&self, step: usize, fault: Fault) {
        let mut state = self.state();
        state.step = 0;
        state.fault = Some((step, fault));
    }

    /// Number of steps since the last call of [`Disk::fail_at`].
    pub fn steps(&self) -> usize {
        self.state().step
    }

    /// Restarts the machine after a crash, with some of the unsynced state lost.
    pub fn restart(&self, rest: Rest) {
        let mut state = self.state();
        state.crashed = false;
        state.fault = None;
        if matches!(rest, Rest::Lost) {
            state.names = state.synced_names.clone();
        }
        for inode in &mut state.inodes {
            let unsynced = inode.data.len() - inode.synced;
            let kept = match rest {
                Rest::Lost => 0,
                Rest::Torn => unsynced / 2,
                Rest::Kept => unsynced,
            };
            inode.data.truncate(inode.synced + kept);
            inode.synced = inode.data.len();
        }
        state.synced_names = state.names.clone();
    }

    /// Changes the bytes of a file.
    pub fn edit(&self, name: &str, change: impl FnOnce(&mut Vec<u8>)) {
        let mut state = self.state();
        let inode = state.inode(name).unwrap();
        change(&mut state.inodes[inode].data);
        state.inodes[inode].synced = state.inodes[inode].data.len();
    }
}

impl disk::Disk for Disk {
    type File = File;

    fn list(&self) -> io::Result<Vec<String>> {
        Ok(self.state().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let mut state = self.state();
        let inode = state.inode(name)?;
        Ok(state.inodes[inode].data.clone())
    }

    fn create(&self, name: &str) -> io::Result<File> {
        let mut state = self.state();
        state.step()?;
        state.inodes.push(Inode::default());
        let inode = state.inodes.len() - 1;
        state.names.insert(name.to_owned(), inode);
        let disk = self.clone();
        Ok(File { disk, inode })
    }

    fn open_append(&self, name: &str) -> io::Result<File> {
        let inode = self.state().inode(name)?;
        let disk = self.clone();
        Ok(File { disk, inode })
    }

    fn shorten(&self, name: &str, length: u64) -> io::Result<()> {
        let mut state = self.state();
        state.step()?;
        let inode = state.inode(name)?;
        let inode = &mut state.inodes[inode];
        inode.data.truncate(usize::try_from(length).unwrap());
        inode.synced = inode.data.len();
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.state();
        state.step()?;
        let inode = state.inode(from)?;
        state.names.remove(from);
        state.names.insert(to.to_owned(), inode);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut state = self.state();
        state.step()?;
        state.names.remove(name);
        Ok(())
    }

    fn sync_directory(&self) -> io::Result<()> {
        let mut state = self.state();
        state.step()?;
        state.synced_names = state.names.clone();
        Ok(())
    }
}

impl disk::File for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.disk.state();
        let outcome = state.step();
        let written = if outcome.is_ok() {
            bytes.len()
        } else {
            bytes.len() / 2
        };
        state.inodes[self.inode].data.extend(&bytes[..written]);
        outcome
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut state = self.disk.state();
        state.step()?;
        let inode = &mut state.inodes[self.inode];
        inode.synced = inode.data.len();
        Ok(())
    }
}

/// A disk set up for a member, without a log.
pub fn disk() -> Disk {
    let disk = Disk::default();
    store::Store::create(&disk, b"member 1", &snapshot::Snapshot::default()).unwrap();
    disk
}

/// Opens a store with segments of a few records.
pub fn open(disk: &Disk) -> Result<(store::Store<Disk>, contents::Contents), error::Error> {
    let options = options::Options::builder().segment_bytes(100).build();
    store::Store::open(disk.clone(), options)
}

/// The contents of a disk.
pub fn contents(disk: &Disk) -> contents::Contents {
    open(disk).unwrap().1
}

/// An entry whose payload repeats a version, to tell overwritten entries apart.
pub fn entry(index: u64, version: u8) -> entry::Entry {
    let payload = vec![version; 10];
    entry::Entry { index, payload }
}

/// A request that appends entries.
pub fn append(indices: std::ops::RangeInclusive<u64>, version: u8) -> request::Request {
    let entries = indices.map(|index| entry(index, version)).collect();
    let truncate = None;
    request::Request {
        batch: batch::Batch { truncate, entries },
        ..request::Request::default()
    }
}

/// A snapshot whose content is determined by its index.
pub fn snapshot_at(index: u64) -> snapshot::Snapshot {
    let payload = index.to_le_bytes().repeat(5).into();
    snapshot::Snapshot { index, payload }
}
