//! Memory that a start needs. The peak belongs to the whole process, so this file has one
//! test only.

mod group;

use std::fs;

use futures::StreamExt;
use masticarch_agreement::{entry, index, payload, position, sequence, term, write};
use masticarch_control::{journal, options};
use masticarch_kernel::runtime;

use group::Group;

/// The allocator of the daemon.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

const ENTRY_BYTES: usize = 1 << 20;
/// Number of entries: a log as earlier code has left it, which took no snapshot before
/// 4,096 entries.
const ENTRIES: u64 = 160;
/// Memory of a control VM.
const MEMORY_BYTES: usize = 256_000_000;

/// The largest memory of this process since the last call of [`reset_peak`].
fn peak() -> usize {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<usize>().ok());
    kib.unwrap() << 10
}

fn reset_peak() {
    fs::write("/proc/self/clear_refs", "5").unwrap();
}

async fn write_log(options: &options::Options) {
    let mut journal = journal::Journal::open(options).unwrap();
    for number in 1..=ENTRIES {
        let position = position::Position {
            term: term::Term(1),
            index: index::Index(number),
        };
        let payload = payload::Payload::Command(vec![7; ENTRY_BYTES].into());
        let write = write::Write {
            sequence: sequence::Sequence(number),
            vote: None,
            truncate: None,
            snapshot: None,
            entries: vec![entry::Entry { position, payload }],
        };
        assert!(journal.writer.send(journal::encode(&write)));
        journal.completions.next().await.unwrap();
    }
}

// Guards against a start that holds a large log several times, and so exceeds the memory of
// a control VM with a log that was written within it.
#[test]
fn start_holds_a_large_log_once() {
    let (recovered, needed) = runtime::run(async {
        let group = Group::new();
        let options = group.options(1);
        write_log(&options).await;
        monoio::time::sleep(std::time::Duration::from_millis(200)).await;

        reset_peak();
        let recovered = journal::Journal::open(&options).unwrap().recovered;
        (recovered, peak())
    })
    .unwrap();

    assert_eq!(recovered.entries.len() as u64, ENTRIES);
    assert!(needed < MEMORY_BYTES, "{needed} bytes");
}
