//! A control group that forms from seeds and repairs itself.

#[path = "fixture/mod.rs"]
mod fixture;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use masticarch_control::{options, role};
use masticarch_kernel::{name, stop, task};
use masticarch_model::member;
use masticarch_wire::message::operator;
use masticarch_wire::message::status::Control;

const ROLE: name::Name = name::Name::new("control");
/// Time within which a lost member must be replaced, so that the group survives
/// further losses (`catchUpS` of the platform's smaller deployments).
const MAX_REPAIR_TIME: Duration = Duration::from_secs(4);

/// Processes of one group, by their number.
struct Group {
    /// Addresses of the member, operator and admin port.
    addresses: Vec<[SocketAddr; 3]>,
    /// `None` while the process does not run.
    processes: Vec<Option<Process>>,
    data: Vec<tempfile::TempDir>,
}

struct Process {
    stop: oneshot::Sender<()>,
    role: monoio::task::JoinHandle<Option<Result<(), masticarch_control::error::Error>>>,
}

impl Group {
    /// Starts `size` processes at once. The first three are the seeds; the process with
    /// the number `size` is a spare that does not run yet.
    fn start(size: usize) -> Self {
        let mut group = Self {
            addresses: (0..=size).map(|_| fixture::free_addresses()).collect(),
            processes: (0..=size).map(|_| None).collect(),
            data: (0..=size).map(|_| empty_directory()).collect(),
        };
        for number in 0..size {
            group.run(number, true);
        }
        group
    }

    fn run(&mut self, number: usize, first_start: bool) {
        let [member, operator, admin] = self.addresses[number];
        let options = options::Options::builder()
            .member(member)
            .operator(operator)
            .admin(admin)
            .data(self.data[number].path().to_owned())
            .seeds(self.addresses[..3].iter().map(|one| one[0]).collect())
            .first_start(first_start)
            .credential(fixture::fleet_credential())
            .operators(vec![fixture::operator_credential()])
            .build();
        let (stop, signal) = stop::Stop::new();
        let role = task::spawn(ROLE, role::run(options, signal));
        self.processes[number] = Some(Process { stop, role });
    }

    async fn stop(&mut self, number: usize) {
        let process = self.processes[number].take().unwrap();
        drop(process.stop);
        process.role.await;
        // The writer closes the data directory on its own thread.
        monoio::time::sleep(Duration::from_millis(100)).await;
    }

    /// Stops a process and replaces its data directory by an empty one.
    async fn replace_disk(&mut self, number: usize) {
        self.stop(number).await;
        self.data[number] = empty_directory();
    }

    /// The members as the leader sees them; `None` while nobody leads.
    async fn members(&self) -> Option<Vec<Control>> {
        for (number, process) in self.processes.iter().enumerate() {
            if process.is_none() {
                continue;
            }
            let Some(client) = fixture::operator_at(self.addresses[number][1]).await else {
                continue;
            };
            if let operator::Reply::Status(status) = client.call(&operator::Request::Status).await {
                return Some(status.members);
            }
        }
        None
    }

    /// Waits until exactly these processes vote, and returns their members.
    async fn settle(&self, expected: &[usize]) -> Vec<member::Member> {
        let begun = Instant::now();
        let mut addresses: Vec<_> = expected
            .iter()
            .map(|number| self.addresses[*number][0])
            .collect();
        addresses.sort_unstable();
        loop {
            let members = self.members().await.unwrap_or_default();
            let voters = members.into_iter().map(|control| control.member);
            let mut voters: Vec<_> = voters.filter(|member| member.voter).collect();
            voters.sort_unstable_by_key(|member| member.address);
            if voters
                .iter()
                .map(|member| member.address)
                .eq(addresses.iter().copied())
            {
                return voters;
            }
            assert!(begun.elapsed() < MAX_REPAIR_TIME, "{voters:?}");
            monoio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

fn empty_directory() -> tempfile::TempDir {
    tempfile::tempdir().unwrap()
}

// Guards against a group that does not form, or in which a process is no voter.
#[test]
fn five_processes_form_a_group_from_three_seeds() {
    fixture::run(async {
        let group = Group::start(5);

        let voters = group.settle(&[0, 1, 2, 3, 4]).await;

        assert_eq!(voters.len(), 5);
    });
}

// Guards against a process with an emptied disk that votes again under its old id,
// and against a group in which it is not replaced.
#[test]
fn emptied_member_returns_under_a_new_id() {
    fixture::run(async {
        let mut group = Group::start(5);
        let before = group.settle(&[0, 1, 2, 3, 4]).await;
        group.replace_disk(0).await;
        group.replace_disk(1).await;
        group.run(0, false);
        group.run(1, false);

        let after = loop {
            let voters = group.settle(&[0, 1, 2, 3, 4]).await;
            let kept = voters.iter().filter(|voter| before.contains(voter)).count();
            if kept == 3 {
                break voters;
            }
            monoio::time::sleep(Duration::from_millis(50)).await;
        };

        assert_eq!(after.len(), 5);
    });
}

// Guards against a lost process that remains a voter, while its replacement at
// another address cannot become one.
#[test]
fn replacement_takes_the_seat_of_a_lost_process() {
    fixture::run(async {
        let mut group = Group::start(5);
        group.settle(&[0, 1, 2, 3, 4]).await;
        group.stop(4).await;
        group.run(5, false);

        let voters = group.settle(&[0, 1, 2, 3, 5]).await;

        assert_eq!(voters.len(), 5);
    });
}

// Guards against a member that is removed because it was silent, although no
// process waits to replace it.
#[test]
fn silent_members_stay_while_nobody_waits_for_their_seats() {
    fixture::run(async {
        let mut group = Group::start(5);
        group.settle(&[0, 1, 2, 3, 4]).await;
        group.stop(3).await;
        group.stop(4).await;
        monoio::time::sleep(Duration::from_secs(3)).await;

        let voters = group.settle(&[0, 1, 2, 3, 4]).await;

        assert_eq!(voters.len(), 5);
    });
}
