//! Use of the operating system by the processes of a fleet, and contents of their
//! logs.

use std::fs;
use std::time::Duration;

use masticarch_kernel::runtime;
use masticarch_load::fleet::{self, objects};
use masticarch_testsuite::caller::Caller;
use masticarch_testsuite::setup;

const SEED: u64 = 31;

/// A fleet that has served a request, and the key of that request.
async fn fleet_after_a_request() -> (fleet::Fleet, String) {
    let mut objects = objects::Objects::new(SEED, &["normal"]);
    let key = objects.team("arica", 100.0, 100);
    objects.route("guiones", "normal", &["arica"]);
    let target = fleet::spec::Target::builder().service("guiones").build();
    let nodes = vec![setup::bare_node(), setup::node_with(target)];
    let spec = fleet::Spec::builder().nodes(nodes).build();
    let fleet = setup::fleet(&spec, objects).await;
    let caller = Caller::with_key(&key);
    caller.post(fleet.callers()[0], "/guiones", "").await;
    (fleet, key)
}

/// The ids of all processes of a fleet.
fn ids(fleet: &fleet::Fleet) -> Vec<u32> {
    let controls = fleet.controls.iter().map(|control| &control.process);
    let nodes = fleet.nodes.iter().map(|node| &node.process);
    controls
        .chain(nodes)
        .map(|process| process.id().unwrap())
        .collect()
}

/// Link targets of the open file descriptors of a process.
fn open_files(id: u32) -> Vec<String> {
    fs::read_dir(format!("/proc/{id}/fd"))
        .unwrap()
        .filter_map(|entry| fs::read_link(entry.unwrap().path()).ok())
        .map(|link| link.to_string_lossy().into_owned())
        .collect()
}

/// Ids of the child processes of a process.
fn children(id: u32) -> String {
    fs::read_dir(format!("/proc/{id}/task"))
        .unwrap()
        .map(|task| fs::read_to_string(task.unwrap().path().join("children")).unwrap())
        .collect()
}

// Guards against a runtime that uses io_uring where the kernel offers it, and
// against child processes.
#[test]
fn processes_use_epoll_and_start_no_others() {
    let (files, children) = runtime::run(async {
        let (fleet, _) = fleet_after_a_request().await;
        let ids = ids(&fleet);
        let files: Vec<_> = ids.iter().map(|id| open_files(*id)).collect();
        let children: String = ids.iter().map(|id| children(*id)).collect();
        (files, children)
    })
    .unwrap();

    for files in files {
        assert!(
            files.iter().any(|file| file.contains("eventpoll")),
            "{files:?}"
        );
        assert!(
            !files.iter().any(|file| file.contains("io_uring")),
            "{files:?}"
        );
    }
    assert_eq!(children, "");
}

// Guards against keys and secrets in logs.
#[test]
fn no_log_holds_a_key_or_a_secret() {
    let (logs, secrets) = runtime::run(async {
        let (fleet, key) = fleet_after_a_request().await;
        let mut secrets = vec![key.rsplit('_').next().unwrap().to_owned()];
        for file in ["fleet.secret", "operator.secret"] {
            secrets.push(fs::read_to_string(fleet.directory().join(file)).unwrap());
        }
        let controls = fleet.controls.iter().map(|control| &control.process);
        let nodes = fleet.nodes.iter().map(|node| &node.process);
        let logs: String = controls
            .chain(nodes)
            .map(|process| process.log().unwrap())
            .collect();
        (logs, secrets)
    })
    .unwrap();

    assert!(!logs.is_empty());
    for secret in secrets {
        assert!(!logs.contains(&secret));
    }
}

// Guards against processes that need a second signal, or exit with a failure.
#[test]
fn processes_stop_on_sigterm_with_success() {
    let statuses = runtime::run(async {
        let (mut fleet, _) = fleet_after_a_request().await;
        let mut statuses = Vec::new();
        for node in &mut fleet.nodes {
            node.process.terminate().unwrap();
            statuses.push(node.process.wait(Duration::from_secs(10)).await.unwrap());
        }
        for control in &mut fleet.controls {
            control.process.terminate().unwrap();
            statuses.push(control.process.wait(Duration::from_secs(10)).await.unwrap());
        }
        statuses
    })
    .unwrap();

    assert_eq!(statuses.len(), 3);
    assert!(statuses.iter().all(|status| status.unwrap().success()));
}
