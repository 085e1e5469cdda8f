//! Rules of Raft that random faults seldom exercise, tested by scripted messages.

use std::time::Duration;

use masticarch_agreement::{
    change, confirmation, effects, entry, index, membership, message, options, payload, position,
    raft, random, recovered, refusal, role, sequence, snapshot, term, vote,
};
use masticarch_model::member;

/// The member under test.
const OWN: member::Id = member::Id(1);
/// The other two members.
const LEFT: member::Id = member::Id(2);
const RIGHT: member::Id = member::Id(3);
const START: Duration = Duration::ZERO;
/// When [`leader_of_three`] starts its election.
const ELECTED: Duration = Duration::from_secs(1);

/// Makes every election timeout the shortest one.
struct Shortest;

impl random::Random for Shortest {
    fn below(&mut self, _limit: u64) -> u64 {
        0
    }
}

type Member = raft::Raft<Shortest>;

fn at(term: u64, index: u64) -> position::Position {
    let term = term::Term(term);
    let index = index::Index(index);
    position::Position { term, index }
}

fn entry(term: u64, index: u64) -> entry::Entry {
    let payload = payload::Payload::Command([u8::try_from(term).unwrap()].into());
    let position = at(term, index);
    entry::Entry { position, payload }
}

/// A member of a group of three in term 3, with one entry each of terms 1 and 2.
fn member_of_three() -> Member {
    member_with(options::Options::default())
}

/// As [`member_of_three`], with the given options.
fn member_with(options: options::Options) -> Member {
    let voter = |id| member::Member {
        id,
        address: ([127, 0, 0, 1], 1).into(),
        voter: true,
    };
    let members = [OWN, LEFT, RIGHT].map(voter).to_vec();
    let recovered = recovered::Recovered {
        vote: vote::Vote {
            term: term::Term(3),
            candidate: None,
        },
        snapshot: snapshot::Snapshot::initial(membership::Membership::new(members)),
        entries: vec![entry(1, 1), entry(2, 2)],
    };
    raft::Raft::new(OWN, options, recovered, Shortest, START)
}

fn receive(member: &mut Member, from: member::Id, term: u64, body: message::Body) {
    let term = term::Term(term);
    let to = OWN;
    let message = message::Message {
        from,
        to,
        term,
        body,
    };
    member.receive(START, message);
}

/// Takes the next write, reports it as durable, and returns the effects that follow.
fn persist(member: &mut Member) -> effects::Effects {
    let write = member.take_effects().write.expect("something to persist");
    member.persisted(write.sequence);
    member.take_effects()
}

fn appended(matched: u64) -> message::Body {
    let matched = index::Index(matched);
    message::Body::Appended { matched }
}

fn append(previous: position::Position, entries: Vec<entry::Entry>, commit: u64) -> message::Body {
    let commit = index::Index(commit);
    message::Body::Append {
        previous,
        entries,
        commit,
    }
}

/// A member that leads in term 4 and has its first entry at index 3.
fn leader_of_three() -> Member {
    leader_from(member_of_three())
}

/// Lets a member as [`member_of_three`] returns it win the election of term 4.
fn leader_from(mut member: Member) -> Member {
    member.tick(ELECTED);
    let asked_term = term::Term(4);
    let granted = true;
    receive(
        &mut member,
        LEFT,
        3,
        message::Body::PreVoteReply {
            asked_term,
            granted,
        },
    );
    persist(&mut member);
    receive(&mut member, LEFT, 4, message::Body::VoteReply { granted });
    persist(&mut member);
    assert_eq!(member.status().role, role::Role::Leader);
    member
}

/// The bodies of the messages to send.
fn replies(effects: effects::Effects) -> Vec<message::Body> {
    let bodies = effects.messages.into_iter().map(|message| message.body);
    bodies.collect()
}

// Guards against committing an entry of an earlier leader because a majority
// holds it: a later leader could still overwrite it.
#[test]
fn entries_of_earlier_terms_commit_only_with_one_of_the_leaders() {
    let mut leader = leader_of_three();

    receive(&mut leader, LEFT, 4, appended(2));
    let early = leader.take_effects().committed;
    receive(&mut leader, LEFT, 4, appended(3));
    let later = leader.take_effects().committed;

    assert_eq!(early, []);
    assert_eq!(later.len(), 3);
}

// Guards against a change of members by a leader that may not know of the change
// that its predecessor committed.
#[test]
fn members_change_only_after_an_entry_of_the_term_is_committed() {
    let mut leader = leader_of_three();

    let early = leader.propose_change(change::Change::Remove(RIGHT));
    receive(&mut leader, LEFT, 4, appended(3));
    leader.take_effects();
    let later = leader.propose_change(change::Change::Remove(RIGHT));

    assert_eq!(early, Err(refusal::Refusal::NotReady));
    assert!(later.is_ok());
}

// Guards against a confirmation by answers to a round that began before the
// request: another leader may have been elected in between.
#[test]
fn answers_to_an_earlier_round_confirm_nothing() {
    let mut leader = leader_of_three();
    receive(&mut leader, LEFT, 4, appended(3));
    leader.tick(ELECTED);
    leader.take_effects();

    let id = leader.confirm_leadership().unwrap();
    receive(
        &mut leader,
        LEFT,
        4,
        message::Body::HeartbeatReply { round: 1 },
    );
    let early = leader.take_effects().confirmed;
    receive(
        &mut leader,
        LEFT,
        4,
        message::Body::HeartbeatReply { round: 2 },
    );
    let later = leader.take_effects().confirmed;

    let index = index::Index(3);
    assert_eq!(early, []);
    assert_eq!(later, [confirmation::Confirmation { id, index }]);
}

// Guards against a leader that lacks committed entries.
#[test]
fn vote_is_refused_to_a_shorter_log() {
    let mut member = member_of_three();

    receive(&mut member, LEFT, 5, message::Body::Vote { last: at(1, 9) });
    let granted = false;

    let reply = replies(persist(&mut member));
    assert_eq!(reply, [message::Body::VoteReply { granted }]);
}

// Guards against a member that was partitioned, perhaps in the middle of an
// election, and deposes a leader that the others hear from.
#[test]
fn pre_vote_is_refused_while_a_leader_is_heard() {
    let mut member = member_of_three();
    let (round, commit) = (1, index::Index(0));
    receive(
        &mut member,
        LEFT,
        3,
        message::Body::Heartbeat { round, commit },
    );
    member.take_effects();

    let mut answers = Vec::new();
    for time in [
        START,
        Duration::from_millis(299),
        Duration::from_millis(300),
    ] {
        member.tick(time);
        receive(
            &mut member,
            RIGHT,
            7,
            message::Body::PreVote { last: at(2, 2) },
        );
        answers.extend(replies(member.take_effects()));
    }
    answers.retain(|body| matches!(body, message::Body::PreVoteReply { .. }));

    let asked_term = term::Term(8);
    let answer = |granted| message::Body::PreVoteReply {
        asked_term,
        granted,
    };
    assert_eq!(answers, [answer(false), answer(false), answer(true)]);
    assert_eq!(member.status().term, term::Term(3));
}

// Guards against a received snapshot that is acknowledged, or counted as durable,
// before it is on the disk, and against a repeated chunk in it.
#[test]
fn received_snapshot_is_handed_over_only_when_durable() {
    let mut member = member_of_three();
    let position = at(3, 9);
    let membership = member.membership().clone();
    let meta = snapshot::Meta {
        position,
        membership,
    };
    let chunk = |offset, data: &[u8]| message::Body::Chunk {
        meta: meta.clone(),
        offset,
        total: 4,
        data: data.to_vec(),
    };

    for body in [chunk(0, b"ab"), chunk(0, b"ab"), chunk(2, b"cd")] {
        receive(&mut member, LEFT, 3, body);
    }
    let early = member.take_effects();
    let durable = member.durable();
    member.persisted(early.write.as_ref().unwrap().sequence);
    let later = member.take_effects();

    let (index, received) = (position.index, 2);
    let request = message::Body::ChunkReply { index, received };
    assert_eq!(early.installed, None);
    assert_eq!(durable, index::Index(0));
    assert_eq!(replies(early), [request.clone(), request]);
    assert_eq!(&later.installed.as_ref().unwrap().data[..], b"abcd");
    assert_eq!(replies(later), [appended(9)]);
}

// Guards against a snapshot transfer that never ends because the leader took a
// newer snapshot (found by seed 829 of the group of three).
#[test]
fn transfer_of_a_replaced_snapshot_gives_way_to_the_log() {
    let options = options::Options::builder().retained_entries(2).build();
    let mut leader = leader_from(member_with(options));
    let (previous, last) = (index::Index(2), index::Index(0));
    receive(
        &mut leader,
        RIGHT,
        4,
        message::Body::Rejected { previous, last },
    );
    for index in 3..=5 {
        if index > 3 {
            leader.propose(Vec::new()).unwrap();
            persist(&mut leader);
        }
        receive(&mut leader, LEFT, 4, appended(index));
        leader.take_effects();
        assert!(leader.compact(index::Index(index), b"state"[..].into()));
        if index == 4 {
            persist(&mut leader);
            receive(&mut leader, RIGHT, 4, appended(3));
        }
    }

    let messages = leader.take_effects().messages;

    let mut bodies = messages.iter().filter(|message| message.to == RIGHT);
    let found = bodies.find_map(|message| match &message.body {
        message::Body::Append { previous, .. } => Some(previous.index),
        _ => None,
    });
    assert_eq!(found, Some(index::Index(3)));
}

// Guards against a leader whose disk hangs and that keeps sending heartbeats, so
// that the others elect no leader that can acknowledge.
#[test]
fn leader_steps_down_when_its_disk_hangs() {
    let mut leader = leader_of_three();
    leader.tick(ELECTED);
    leader.propose(Vec::new()).unwrap();
    leader.take_effects();

    let mut roles = Vec::new();
    for milliseconds in [500, 1000, 1500, 2000, 2001] {
        leader.tick(ELECTED + Duration::from_millis(milliseconds));
        roles.push(leader.status().role);
        receive(
            &mut leader,
            LEFT,
            4,
            message::Body::HeartbeatReply { round: 1 },
        );
    }

    assert_eq!(roles[..4], [role::Role::Leader; 4]);
    assert_eq!(roles[4], role::Role::Follower);
}

// Guards against two votes in a term, of which the first was lost in a crash.
#[test]
fn vote_is_sent_only_when_durable_and_once_a_term() {
    let mut member = member_of_three();
    let last = at(2, 2);

    receive(&mut member, LEFT, 5, message::Body::Vote { last });
    receive(&mut member, RIGHT, 5, message::Body::Vote { last });
    let effects = member.take_effects();
    let early = effects.messages.len();
    member.persisted(effects.write.unwrap().sequence);
    let later = replies(member.take_effects());

    let reply = |granted| message::Body::VoteReply { granted };
    assert_eq!(early, 0);
    assert_eq!(later, [reply(true), reply(false)]);
}

// Guards against a late report of a write whose entries were removed and
// appended again, but are not on the disk yet.
#[test]
fn removed_entries_are_durable_only_when_written_again() {
    let mut member = member_of_three();
    let mut writes = Vec::new();
    for (term, entries, commit) in [
        (3, vec![entry(3, 3)], 0),
        (4, vec![entry(4, 3)], 0),
        (5, vec![entry(3, 3)], 3),
    ] {
        receive(&mut member, LEFT, term, append(at(2, 2), entries, commit));
        writes.push(member.take_effects().write.unwrap().sequence);
    }

    member.persisted(writes[0]);
    let early = member.take_effects().committed;
    member.persisted(sequence::Sequence(writes[2].0));
    let later = member.take_effects().committed;

    assert_eq!(early, []);
    assert_eq!(later, [entry(3, 3)]);
}

// Guards against entries that a snapshot covers and that stay in memory whatever their
// size: some thousand entries with whole configurations exceed the memory.
#[test]
fn covered_entries_are_kept_up_to_a_size() {
    let options = options::Options::builder().retained_bytes(100).build();
    let mut leader = leader_from(member_with(options));
    for _ in 0..10 {
        leader.propose(vec![7; 40]).unwrap();
    }
    persist(&mut leader);
    receive(&mut leader, LEFT, 4, appended(13));
    leader.take_effects();

    let taken = leader.compact(index::Index(13), b"state"[..].into());
    let rejection = message::Body::Rejected {
        previous: index::Index(2),
        last: index::Index(0),
    };
    receive(&mut leader, RIGHT, 4, rejection);
    let sent = replies(leader.take_effects());

    assert!(taken);
    assert!(
        sent.iter()
            .any(|body| matches!(body, message::Body::Chunk { .. })),
        "a member that lacks more than the kept entries needs the snapshot: {sent:?}"
    );
}

// Guards against a leader that sends its whole log to an emptied member at once: with
// large entries, the messages exceeded the memory of one leader after the other.
#[test]
fn unacknowledged_entries_are_bounded_by_their_size() {
    const ENTRY_BYTES: usize = 40;
    const WINDOW_BYTES: usize = 100;
    let options = options::Options::builder()
        .window_bytes(WINDOW_BYTES as u64)
        .batch_bytes(ENTRY_BYTES)
        .build();
    let mut leader = leader_from(member_with(options));
    for _ in 0..100 {
        leader.propose(vec![7; ENTRY_BYTES]).unwrap();
    }
    persist(&mut leader);

    let mut last_sent = 0;
    let mut most = 0;
    for matched in 2..=103 {
        receive(&mut leader, RIGHT, 4, appended(matched));
        let sent = leader.take_effects().messages;
        let sent = sent.into_iter().filter(|message| message.to == RIGHT);
        last_sent = sent.map(last_index).fold(last_sent, u64::max);
        // The first entry of the leader has no command.
        let in_flight = last_sent.max(3) - matched.max(3);
        most = most.max(usize::try_from(in_flight).unwrap() * ENTRY_BYTES);
    }

    assert_eq!(last_sent, 103);
    assert!(most <= WINDOW_BYTES + ENTRY_BYTES, "{most} bytes in flight");
}

/// Index of the last entry in a message; 0 when there is none.
fn last_index(message: message::Message) -> u64 {
    let message::Body::Append { entries, .. } = message.body else {
        return 0;
    };
    entries.last().map_or(0, |entry| entry.position.index.0)
}
