//! Segments of the log.

use crate::{batch, disk, entry, error, record, replay};

/// Start of the file names of segments.
const PREFIX: &str = "log-";

/// One file of the log, with the size that decides when it is closed and the index
/// that decides when it is removed.
#[derive(Clone, Debug)]
pub struct Segment {
    /// Number of the segment; segments are numbered without gaps.
    pub number: u64,
    /// Highest index that any of its batches appended, or 0.
    pub highest_index: u64,
    /// Size in bytes.
    pub size: u64,
}

impl Segment {
    /// A segment without records.
    pub fn new(number: u64) -> Self {
        Self {
            number,
            highest_index: 0,
            size: 0,
        }
    }

    /// Name of the segment's file.
    pub fn name(&self) -> String {
        format!("{PREFIX}{:016}", self.number)
    }

    /// The number in a file name, if it is the name of a segment.
    pub fn parse_number(name: &str) -> Option<u64> {
        name.strip_prefix(PREFIX)?.parse().ok()
    }

    /// Reads a segment and replays its batches. Only the last segment can have a
    /// torn tail, which is removed.
    pub fn load<D: disk::Disk, T, F: Fn(entry::Entry) -> Option<T>>(
        number: u64,
        is_last: bool,
        disk: &D,
        replay: &mut replay::Replay<T, F>,
    ) -> Result<Self, error::Error> {
        let mut segment = Self::new(number);
        let name = segment.name();
        let bytes = disk.read(&name).map_err(error::Error::io("read", &name))?;
        let mut offset = 0;
        while offset < bytes.len() {
            let corrupt = |reason| error::Error::Corrupt(name.clone(), offset as u64, reason);
            let Some(record) = record::read(&bytes, offset) else {
                if is_last && record::is_torn(&bytes, offset) {
                    segment.remove_tail(disk, offset as u64)?;
                    break;
                }
                return Err(corrupt("the checksum does not match"));
            };
            let batch = postcard::from_bytes(record.payload);
            let batch = batch.map_err(|_| corrupt("the batch cannot be decoded"))?;
            segment.note_batch(&batch);
            replay.apply(batch).map_err(corrupt)?;
            offset = record.end;
        }
        segment.size = offset as u64;
        Ok(segment)
    }

    /// Accounts for a batch in the segment's highest index.
    pub fn note_batch(&mut self, batch: &batch::Batch) {
        let last = batch.entries.last().map_or(0, |entry| entry.index);
        self.highest_index = self.highest_index.max(last);
    }

    fn remove_tail<D: disk::Disk>(&self, disk: &D, length: u64) -> Result<(), error::Error> {
        let name = self.name();
        tracing::warn!(
            file = name,
            offset = length,
            "incomplete record removed from the end of the log"
        );
        disk.shorten(&name, length)
            .map_err(error::Error::io("shorten", &name))
    }
}
