//! A torn record is removed at the end of the log; other damage is refused.

mod support;

use masticarch_store::error;
use rstest::rstest;

use support::{Disk, append, contents, disk, open};

/// File name of the first segment.
const FIRST: &str = "log-0000000000000001";

/// A disk with four records in two segments, and the sizes of the first
/// segment after each of its records.
fn disk_with_log() -> (Disk, Vec<usize>) {
    let disk = disk();
    let (mut store, _) = open(&disk).unwrap();
    let mut sizes = Vec::new();
    for first in [1, 4, 7, 10] {
        store.write(append(first..=first + 2, 1)).unwrap();
        disk.edit(FIRST, |bytes| sizes.push(bytes.len()));
    }
    sizes.dedup();
    (disk, sizes)
}

/// A disk with one segment of two records, and where the second one begins.
fn disk_with_one_segment() -> (Disk, usize) {
    let disk = disk();
    let (mut store, _) = open(&disk).unwrap();
    let mut start = 0;
    store.write(append(1..=1, 1)).unwrap();
    disk.edit(FIRST, |bytes| start = bytes.len());
    store.write(append(2..=2, 1)).unwrap();
    (disk, start)
}

// Guards against a torn last record that prevents the store from opening, or that
// stays in the file, at any length, and against a tail of zeros.
#[test]
fn torn_tail_is_truncated() {
    let (disk, start) = disk_with_one_segment();
    let mut whole = Vec::new();
    disk.edit(FIRST, |bytes| whole.clone_from(bytes));
    for length in start..whole.len() {
        for zeros in [0, 20] {
            disk.edit(FIRST, |bytes| {
                bytes.clone_from(&whole);
                bytes.truncate(length);
                if length == start {
                    bytes.resize(length + zeros, 0);
                }
            });

            let found = contents(&disk).entries;

            let mut left = 0;
            disk.edit(FIRST, |bytes| left = bytes.len());
            assert_eq!(found, [support::entry(1, 1)], "length {length}");
            assert_eq!(left, start, "length {length}");
        }
    }
}

// Guards against a damaged byte in the middle that is taken for a torn tail, so
// that acknowledged entries are lost. Length fields are damaged as well.
#[test]
fn corrupt_middle_is_refused_with_file_and_offset() {
    let (intact, start) = disk_with_one_segment();
    for position in 0..start {
        for damage in [0x01, 0x80, 0xff] {
            intact.edit(FIRST, |bytes| bytes[position] ^= damage);

            let outcome = open(&intact).map(|(_, contents)| contents);

            intact.edit(FIRST, |bytes| bytes[position] ^= damage);
            let Err(error::Error::Corrupt(file, offset, _)) = outcome else {
                panic!("byte {position} ^ {damage}: {outcome:?}");
            };
            assert_eq!((file.as_str(), offset), (FIRST, 0));
        }
    }
}

// Guards against a truncated earlier segment that is taken for a torn tail.
#[test]
fn truncated_earlier_segment_is_refused() {
    let (disk, sizes) = disk_with_log();
    disk.edit(FIRST, |bytes| bytes.truncate(sizes[sizes.len() - 1] - 3));

    let outcome = open(&disk).map(|(_, contents)| contents);

    let offset = sizes[sizes.len() - 2] as u64;
    let text = outcome.unwrap_err().to_string();
    assert_eq!(
        text,
        format!("{FIRST} is corrupt at offset {offset}: the checksum does not match")
    );
}

// Guards against a missing segment that leaves a gap in the log unnoticed.
#[test]
fn missing_segment_is_refused() {
    let (disk, _) = disk_with_log();
    masticarch_store::disk::Disk::remove(&disk, FIRST).unwrap();

    let outcome = open(&disk).map(|(_, contents)| contents);

    assert!(
        matches!(outcome, Err(error::Error::Corrupt(..))),
        "{outcome:?}"
    );
}

// Guards against a member that votes or starts with damaged state.
#[rstest]
fn damaged_whole_file_is_refused(#[values("identity", "vote", "snapshot")] name: &str) {
    let (disk, _) = disk_with_log();
    let (mut store, _) = open(&disk).unwrap();
    let mut request = append(13..=13, 1);
    request.vote = Some(b"term 1".to_vec());
    store.write(request).unwrap();
    disk.edit(name, |bytes| *bytes.last_mut().unwrap() ^= 1);

    let outcome = open(&disk).map(|(_, contents)| contents);

    let text = outcome.unwrap_err().to_string();
    assert!(
        text.starts_with(&format!("{name} is corrupt at offset 0")),
        "{text}"
    );
}
