//! The writer thread acknowledges in order, and stops at an error.

mod support;

use std::io;

use futures::StreamExt;
use futures::executor::block_on;
use masticarch_store::{completion, directory, error, options, request, snapshot, store, writer};

use support::{Fault, append, contents, disk, entry, open};

fn numbered(sequence: u64, request: request::Request) -> request::Request {
    request::Request {
        sequence,
        ..request
    }
}

// Guards against requests that are lost, reordered or acknowledged early when
// several share a sync, also around truncations and snapshots.
#[test]
fn requests_are_acknowledged_in_order() {
    let disk = disk();
    let (store, _) = open(&disk).unwrap();
    let (writer, completions) = writer::Writer::start(store).unwrap();
    let mut overwrite = append(90..=95, 2);
    overwrite.batch.truncate = Some(90);
    let mut compact = append(96..=96, 2);
    compact.snapshot = Some(support::snapshot_at(50));

    for index in 1..=100 {
        assert!(writer.send(numbered(index, append(index..=index, 1))));
    }
    assert!(writer.send(numbered(101, overwrite)));
    assert!(writer.send(numbered(102, compact)));
    drop(writer);
    let reports: Vec<_> = block_on(completions.collect());

    let mut persisted = reports.iter().map(|report| match report {
        completion::Completion::Persisted(sequence) => *sequence,
        completion::Completion::Failed(failure) => panic!("{failure}"),
    });
    assert!(persisted.clone().is_sorted());
    assert_eq!(persisted.next_back(), Some(102));
    let expected = (51..=89).map(|index| entry(index, 1));
    let expected = expected.chain((90..=96).map(|index| entry(index, 2)));
    assert_eq!(contents(&disk).entries, expected.collect::<Vec<_>>());
}

// Guards against a full disk that is not reported, or followed by an
// acknowledgement.
#[test]
fn full_disk_is_reported_once_and_ends_acknowledgements() {
    let disk = disk();
    let (store, _) = open(&disk).unwrap();
    disk.fail_at(2, Fault::Error(io::ErrorKind::StorageFull));
    let (writer, mut completions) = writer::Writer::start(store).unwrap();

    assert!(writer.send(numbered(1, append(1..=1, 1))));
    let first = block_on(completions.next());
    assert!(writer.send(numbered(2, append(2..=2, 1))));
    let second = block_on(completions.next());
    // The thread may or may not have ended when this request is handed over.
    let _ = writer.send(numbered(3, append(3..=3, 1)));
    drop(writer);
    let rest: Vec<_> = block_on(completions.collect());

    assert!(matches!(first, Some(completion::Completion::Persisted(1))));
    let Some(completion::Completion::Failed(error::Error::Io(operation, _, cause))) = second else {
        panic!("{second:?}");
    };
    assert_eq!(
        (operation, cause.kind()),
        ("write", io::ErrorKind::StorageFull)
    );
    assert!(rest.is_empty(), "{rest:?}");
}

// Guards against a difference between the simulated and the real file system,
// and against two processes on one data directory.
#[test]
fn directory_keeps_contents_and_is_locked() {
    let place = tempfile::tempdir().unwrap();
    let path = place.path().join("data");
    let disk = directory::Directory::open(&path).unwrap();
    store::Store::create(&disk, b"member 1", &snapshot::Snapshot::default()).unwrap();
    let (mut store, _) = store::Store::open(disk, options::Options::default()).unwrap();
    let mut request = append(1..=5, 1);
    request.vote = Some(b"term 1".to_vec());
    store.write(request).unwrap();
    let mut request = append(6..=6, 1);
    request.snapshot = Some(support::snapshot_at(4));
    store.write(request).unwrap();

    let second = directory::Directory::open(&path).map(|_| ());
    drop(store);
    let disk = directory::Directory::open(&path).unwrap();
    let (_, contents) = store::Store::open(disk, options::Options::default()).unwrap();

    assert_eq!(second.unwrap_err().kind(), io::ErrorKind::WouldBlock);
    assert_eq!(contents.vote.as_deref(), Some(&b"term 1"[..]));
    assert_eq!(contents.snapshot, support::snapshot_at(4));
    assert_eq!(contents.entries, [entry(5, 1), entry(6, 1)]);
}
