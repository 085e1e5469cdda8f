//! The blocking store.

use crate::{
    batch, contents, disk, entry, error, options, record, replay, request, segment, snapshot,
};

/// File of the identity. It is written once, as the last file at creation.
const IDENTITY: &str = "identity";
const VOTE: &str = "vote";
const SNAPSHOT: &str = "snapshot";
/// Suffix of the names of files that are not complete yet.
const TEMPORARY: &str = ".tmp";

/// An open data directory.
#[derive(Debug)]
pub struct Store<D: disk::Disk> {
    disk: D,
    options: options::Options,
    /// Segments by number; the last one is open for appending.
    segments: Vec<segment::Segment>,
    /// The file of the last segment.
    file: D::File,
    /// Whether a write has failed.
    failed: bool,
}

impl<D: disk::Disk> Store<D> {
    /// Sets up a new data directory. The identity is written last, so that a
    /// crash in between leaves a directory that can be set up again.
    ///
    /// # Errors
    /// [`error::Error::Exists`] when the directory holds data already, or
    /// [`error::Error::Io`].
    pub fn create(
        disk: &D,
        identity: &[u8],
        snapshot: &snapshot::Snapshot,
    ) -> Result<(), error::Error> {
        let names = list(disk)?;
        let used = |name: &String| {
            name == IDENTITY || name == VOTE || segment::Segment::parse_number(name).is_some()
        };
        if names.iter().any(used) {
            return Err(error::Error::Exists);
        }
        replace_file(disk, SNAPSHOT, &snapshot.encode())?;
        replace_file(disk, IDENTITY, identity)
    }

    /// Opens a data directory and reads all of it.
    ///
    /// # Errors
    /// [`error::Error::Empty`], [`error::Error::Corrupt`] or
    /// [`error::Error::Io`].
    pub fn open(
        disk: D,
        options: options::Options,
    ) -> Result<(Self, contents::Contents), error::Error> {
        Self::open_with(disk, options, Some)
    }

    /// Opens a data directory as [`Store::open`] does. `decode` gets each entry as it is
    /// read; `None` means that the entry is damaged.
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn open_with<T>(
        disk: D,
        options: options::Options,
        decode: impl Fn(entry::Entry) -> Option<T>,
    ) -> Result<(Self, contents::Contents<T>), error::Error> {
        let names = list(&disk)?;
        if !names.iter().any(|name| name == IDENTITY) {
            return Err(error::Error::Empty);
        }
        remove_temporary(&disk, &names)?;
        let identity = load_file(&disk, IDENTITY)?;
        let has_vote = names.iter().any(|name| name == VOTE);
        let vote = has_vote.then(|| load_file(&disk, VOTE)).transpose()?;
        let snapshot = load_snapshot(&disk)?;
        let mut replay = replay::Replay::new(snapshot.index, decode);
        let segments = load_segments(&disk, &names, &mut replay)?;
        let (segments, file) = open_last(&disk, segments)?;
        let entries = replay.finish().ok_or_else(|| missing_entries(&segments))?;
        let store = Self {
            disk,
            options,
            segments,
            file,
            failed: false,
        };
        let contents = contents::Contents {
            identity,
            vote,
            snapshot,
            entries,
        };
        Ok((store, contents))
    }

    /// Makes a request durable. After an error every further request fails,
    /// because a failed sync may have lost data that a retry would not notice.
    ///
    /// # Errors
    /// [`error::Error::Io`], or [`error::Error::Failed`] after an earlier error.
    pub fn write(&mut self, request: request::Request) -> Result<(), error::Error> {
        if self.failed {
            return Err(error::Error::Failed);
        }
        let outcome = self.write_parts(request);
        self.failed = outcome.is_err();
        outcome
    }

    fn write_parts(&mut self, request: request::Request) -> Result<(), error::Error> {
        if let Some(vote) = &request.vote {
            replace_file(&self.disk, VOTE, vote)?;
        }
        let Some(snapshot) = &request.snapshot else {
            return self.append(&request.batch);
        };
        let truncation = batch::Batch {
            truncate: request.batch.truncate,
            entries: Vec::new(),
        };
        let entries = batch::Batch {
            truncate: None,
            entries: request.batch.entries,
        };
        self.append(&truncation)?;
        replace_file(&self.disk, SNAPSHOT, &snapshot.encode())?;
        self.rotate()?;
        self.remove_covered(snapshot.index)?;
        self.append(&entries)
    }

    fn append(&mut self, batch: &batch::Batch) -> Result<(), error::Error> {
        if batch.is_empty() {
            return Ok(());
        }
        if self.current().size >= self.options.segment_bytes {
            self.rotate()?;
        }
        let name = self.current().name();
        let payload = postcard::to_allocvec(batch).map_err(std::io::Error::other);
        let record = payload.and_then(|payload| encode(&payload));
        let record = record.map_err(error::Error::io("encode for", &name))?;
        write_and_sync(&mut self.file, &name, &record)?;
        let current = self.current();
        current.note_batch(batch);
        current.size += record.len() as u64;
        Ok(())
    }

    fn current(&mut self) -> &mut segment::Segment {
        let last = self.segments.len() - 1;
        &mut self.segments[last]
    }

    /// Begins a new segment, unless the current one is empty.
    fn rotate(&mut self) -> Result<(), error::Error> {
        if self.current().size == 0 {
            return Ok(());
        }
        let segment = segment::Segment::new(self.current().number + 1);
        self.file = create_segment(&self.disk, &segment)?;
        self.segments.push(segment);
        Ok(())
    }

    /// Removes the segments that a snapshot covers, oldest first.
    fn remove_covered(&mut self, index: u64) -> Result<(), error::Error> {
        let closed = &self.segments[..self.segments.len() - 1];
        let covered = closed
            .iter()
            .take_while(|segment| segment.highest_index <= index);
        let count = covered.count();
        for segment in self.segments.drain(..count) {
            let name = segment.name();
            self.disk
                .remove(&name)
                .map_err(error::Error::io("remove", &name))?;
            sync_directory(&self.disk)?;
        }
        Ok(())
    }
}

/// The identity of a data directory; `None` when it is new or empty.
///
/// # Errors
/// [`error::Error::Corrupt`] or [`error::Error::Io`].
pub fn identity<D: disk::Disk>(disk: &D) -> Result<Option<Vec<u8>>, error::Error> {
    let known = list(disk)?.iter().any(|name| name == IDENTITY);
    known.then(|| load_file(disk, IDENTITY)).transpose()
}

fn list<D: disk::Disk>(disk: &D) -> Result<Vec<String>, error::Error> {
    disk.list()
        .map_err(error::Error::io("list", "the data directory"))
}

fn sync_directory<D: disk::Disk>(disk: &D) -> Result<(), error::Error> {
    disk.sync_directory()
        .map_err(error::Error::io("sync", "the data directory"))
}

fn encode(payload: &[u8]) -> std::io::Result<Vec<u8>> {
    record::encode(payload).ok_or_else(|| std::io::ErrorKind::FileTooLarge.into())
}

fn write_and_sync(
    file: &mut impl disk::File,
    name: &str,
    bytes: &[u8],
) -> Result<(), error::Error> {
    file.append(bytes)
        .map_err(error::Error::io("write", name))?;
    file.sync().map_err(error::Error::io("sync", name))
}

/// Writes a file as a whole: temporary file, sync, rename, directory sync.
fn replace_file<D: disk::Disk>(disk: &D, name: &str, payload: &[u8]) -> Result<(), error::Error> {
    let temporary = format!("{name}{TEMPORARY}");
    let record = encode(payload).map_err(error::Error::io("encode for", name))?;
    let mut file = disk
        .create(&temporary)
        .map_err(error::Error::io("create", &temporary))?;
    write_and_sync(&mut file, &temporary, &record)?;
    disk.rename(&temporary, name)
        .map_err(error::Error::io("rename", &temporary))?;
    sync_directory(disk)
}

/// Reads a file that holds one record.
fn load_file<D: disk::Disk>(disk: &D, name: &str) -> Result<Vec<u8>, error::Error> {
    let bytes = disk.read(name).map_err(error::Error::io("read", name))?;
    let record = record::read(&bytes, 0).filter(|record| record.end == bytes.len());
    let corrupt = || error::Error::Corrupt(name.to_owned(), 0, "the checksum does not match");
    Ok(record.ok_or_else(corrupt)?.payload.to_vec())
}

fn load_snapshot<D: disk::Disk>(disk: &D) -> Result<snapshot::Snapshot, error::Error> {
    let bytes = load_file(disk, SNAPSHOT)?;
    let corrupt = || error::Error::Corrupt(SNAPSHOT.to_owned(), 0, "the index is missing");
    snapshot::Snapshot::decode(&bytes).ok_or_else(corrupt)
}

fn load_segments<D: disk::Disk, T, F: Fn(entry::Entry) -> Option<T>>(
    disk: &D,
    names: &[String],
    replay: &mut replay::Replay<T, F>,
) -> Result<Vec<segment::Segment>, error::Error> {
    let mut numbers: Vec<u64> = names
        .iter()
        .filter_map(|name| segment::Segment::parse_number(name))
        .collect();
    numbers.sort_unstable();
    let last = numbers.last().copied();
    let mut segments = Vec::<segment::Segment>::new();
    for number in numbers {
        let gap = segments
            .last()
            .is_some_and(|before| before.number + 1 != number);
        if gap {
            let name = segment::Segment::new(number).name();
            let reason = "the segment before it is missing";
            return Err(error::Error::Corrupt(name, 0, reason));
        }
        let is_last = Some(number) == last;
        segments.push(segment::Segment::load(number, is_last, disk, replay)?);
    }
    Ok(segments)
}

/// Opens the last segment, or begins the first one.
fn open_last<D: disk::Disk>(
    disk: &D,
    mut segments: Vec<segment::Segment>,
) -> Result<(Vec<segment::Segment>, D::File), error::Error> {
    if let Some(last) = segments.last() {
        let name = last.name();
        let file = disk.open_append(&name);
        let file = file.map_err(error::Error::io("open", &name))?;
        return Ok((segments, file));
    }
    let first = segment::Segment::new(1);
    let file = create_segment(disk, &first)?;
    segments.push(first);
    Ok((segments, file))
}

fn create_segment<D: disk::Disk>(
    disk: &D,
    segment: &segment::Segment,
) -> Result<D::File, error::Error> {
    let name = segment.name();
    let file = disk.create(&name);
    let file = file.map_err(error::Error::io("create", &name))?;
    sync_directory(disk)?;
    Ok(file)
}

fn remove_temporary<D: disk::Disk>(disk: &D, names: &[String]) -> Result<(), error::Error> {
    for name in names.iter().filter(|name| name.ends_with(TEMPORARY)) {
        disk.remove(name)
            .map_err(error::Error::io("remove", name))?;
    }
    Ok(())
}

fn missing_entries(segments: &[segment::Segment]) -> error::Error {
    let first = segments.first().map(segment::Segment::name);
    let reason = "the entries after the snapshot are missing";
    error::Error::Corrupt(first.unwrap_or_default(), 0, reason)
}
