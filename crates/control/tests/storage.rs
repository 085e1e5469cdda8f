//! A control process whose storage fails. The limit on file sizes applies to the
//! whole process, so this file has one test only.

mod fixture;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use masticarch_control::{error, options, role};
use masticarch_kernel::{name, stop, task};
use masticarch_wire::message::operator;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};

const ROLE: name::Name = name::Name::new("control");
/// `SIGXFSZ` of Linux, which is raised by a write beyond the limit.
const FILE_SIZE_SIGNAL: i32 = 25;
/// Time within which the process must exit.
const MAX_EXIT_TIME: Duration = Duration::from_secs(3);

// Guards against a member that never rejoins its group after its disk was full for
// a moment: two such members and one lost VM would stop a group of five.
#[test]
fn process_ends_when_its_storage_has_failed() {
    signal_hook::flag::register(FILE_SIZE_SIGNAL, Arc::new(AtomicBool::new(false))).unwrap();
    fixture::run(async {
        let data = tempfile::tempdir().unwrap();
        let [member, operator, admin] = fixture::free_addresses();
        let options = options::Options::builder()
            .member(member)
            .operator(operator)
            .admin(admin)
            .data(data.path().to_owned())
            .seeds(vec![member])
            .first_start(true)
            .on_storage_failure(options::FailurePolicy::Exit)
            .credential(fixture::fleet_credential())
            .operators(vec![fixture::operator_credential()])
            .build();
        let (_stop, signal) = stop::Stop::new();
        let process = task::spawn(ROLE, role::run(options, signal));
        let client = loop {
            if let Some(client) = fixture::operator_at(operator).await {
                break client;
            }
            monoio::time::sleep(Duration::from_millis(20)).await;
        };
        while matches!(
            client.call(&operator::Request::Get).await,
            operator::Reply::NotLeader(_)
        ) {
            monoio::time::sleep(Duration::from_millis(20)).await;
        }

        let usual = getrlimit(Resource::Fsize);
        let none = Rlimit {
            current: Some(0),
            ..usual
        };
        setrlimit(Resource::Fsize, none).unwrap();
        let change = fixture::change(1, 0, Vec::new());
        let call = task::spawn(ROLE, async move { client.call(&change).await });
        let ended = monoio::time::timeout(MAX_EXIT_TIME, process).await;
        // The output of the test may go to a file.
        setrlimit(Resource::Fsize, usual).unwrap();

        assert!(
            matches!(ended, Ok(Some(Err(error::Error::Storage)))),
            "the process has not exited with a storage error"
        );
        drop(call);
    });
}
