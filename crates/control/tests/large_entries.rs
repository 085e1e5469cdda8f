//! Entries that each hold a large configuration.

mod group;

use masticarch_control::journal;
use masticarch_kernel::runtime;
use masticarch_model::member;

use group::{Group, State};

/// Size of a command, about that of a configuration with a few thousand routes.
const COMMAND_BYTES: usize = 1 << 20;
/// Number of commands: together they need more than a control VM has free.
const COMMANDS: usize = 96;
/// Most bytes of entries that a restart may have to hold: a quarter of the 256 MB of
/// a control VM.
const MAX_LOG_BYTES: usize = 64 << 20;

// Guards against a log that is bounded by its number of entries only: after hundreds of
// changes of a large configuration, no control process had the memory to start again.
#[test]
fn restart_reads_a_bounded_log_after_many_large_changes() {
    let (recovered, state) = runtime::run(async {
        let mut group = Group::new();
        let mut options = group.options(1);
        options.members.truncate(1);
        let state = State {
            kept: Some(COMMAND_BYTES),
            ..State::default()
        };
        group.start_with(&options, state);
        let leader = group.leader().await;
        for number in 0..COMMANDS {
            let command = vec![u8::try_from(number).unwrap(); COMMAND_BYTES];
            group.members[&leader].propose(&command).await.unwrap();
        }
        group.stop(member::Id(1)).await;

        let recovered = journal::Journal::open(&options).unwrap().recovered;

        let restarted = State {
            kept: Some(COMMAND_BYTES),
            ..State::default()
        };
        group.start_with(&options, restarted);
        group.leader().await;
        let state = group.members[&leader].state.borrow().commands.clone();
        (recovered, state)
    })
    .unwrap();

    let bytes = recovered.entry_bytes();
    assert!(bytes <= MAX_LOG_BYTES, "{bytes} bytes of entries");
    let last = u8::try_from(COMMANDS - 1).unwrap();
    assert_eq!(state.len(), COMMAND_BYTES);
    assert!(
        state.iter().all(|byte| *byte == last),
        "not the last command"
    );
}
