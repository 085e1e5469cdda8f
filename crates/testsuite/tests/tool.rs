//! Operators change and inspect a fleet with the command-line tool.

use std::fs;
use std::path::PathBuf;

use expect_test::{Expect, expect};
use http::StatusCode;
use masticarch_kernel::runtime;
use masticarch_load::fleet::{self, objects};
use masticarch_testsuite::caller::Caller;
use masticarch_testsuite::setup;
use masticarch_testsuite::tool::Tool;
use rstest::rstest;

const SEED: u64 = 21;
// Exit codes of the tool.
const DONE: i32 = 0;
const BAD_FILE: i32 = 1;
const REFUSED: i32 = 3;
const CONFLICT: i32 = 4;
const UNREACHABLE: i32 = 5;
const BAD_CREDENTIAL: i32 = 7;

const CONFIGURATION: &str = "priorities: [{ name: normal }]
limits: [{ name: small, rate_per_second: 50, burst: 100 }]
teams: [{ name: arica, limit: small }]
routes:
  - name: guiones
    path: /guiones
    service: guiones
    priority: normal
    access: { teams: [arica] }
    idempotent: true
";

/// A fleet with a target for guiones, and an empty configuration.
async fn fleet(controls: usize) -> fleet::Fleet {
    let target = fleet::spec::Target::builder().service("guiones").build();
    let spec = fleet::Spec::builder()
        .controls(controls)
        .nodes(vec![setup::node_with(target)])
        .build();
    setup::fleet(&spec, objects::Objects::new(SEED, &[])).await
}

/// Writes a file into the directory of a fleet and returns its path.
fn write_file(fleet: &fleet::Fleet, name: &str, text: &str) -> String {
    let path: PathBuf = fleet.directory().join(name);
    fs::write(&path, text).unwrap();
    path.to_string_lossy().into_owned()
}

fn run<F: Future>(test: F) -> F::Output {
    runtime::run(test).unwrap()
}

// Guards against a tool that cannot configure an empty fleet so that it serves
// requests, and against secrets of keys that are shown again after they were issued.
#[test]
fn fleet_is_set_up_with_the_tool() {
    run(async {
        let fleet = fleet(1).await;
        let tool = Tool::new(&fleet, "operator.secret");
        let path = write_file(&fleet, "small.yaml", CONFIGURATION);

        let checked = tool.run(&["check", &path]);
        let differs = tool.run(&["diff", &path]);
        let applied = tool.run(&["apply", &path]);
        let issued = tool.run(&["key", "issue", "arica-1", "--team", "arica"]);
        let key = issued.output.lines().next().unwrap_or_default().to_owned();
        monoio::time::sleep(std::time::Duration::from_millis(500)).await;
        let caller = Caller::with_key(&key);
        let served = caller.post(fleet.callers()[0], "/guiones", "").await;
        let listed = tool.run(&["list", "keys"]);
        let withdrawn = tool.run(&["key", "withdraw", "arica-1"]);
        monoio::time::sleep(std::time::Duration::from_millis(500)).await;
        let refused = caller.post(fleet.callers()[0], "/guiones", "").await;
        let again = tool.run(&["apply", &path]);
        let kept = tool.run(&["get", "key", "arica-1", "--output", "json"]);

        for step in [
            &checked, &differs, &applied, &issued, &listed, &withdrawn, &again,
        ] {
            assert_eq!(step.code, DONE, "{}", step.error);
        }
        assert!(
            differs.output.contains("+ route guiones"),
            "{}",
            differs.output
        );
        assert_eq!(served.status(), StatusCode::OK);
        assert_eq!(refused.status(), StatusCode::UNAUTHORIZED);
        assert!(listed.output.contains("arica-1"));
        let secret = key.rsplit('_').next().unwrap();
        assert!(!listed.output.contains(secret) && !kept.output.contains(secret));
        assert!(
            kept.output.contains("\"withdrawn\": true"),
            "{}",
            kept.output
        );
    });
}

fn assert_text(expected: &Expect, text: &str) {
    expected.assert_eq(text.trim_end());
}

// Guards against a refusal that does not name every faulty object and field, and
// against a change that is applied in part.
#[test]
fn faulty_file_is_refused_with_every_fault() {
    run(async {
        let fleet = fleet(1).await;
        let tool = Tool::new(&fleet, "operator.secret");
        let text = CONFIGURATION
            .replace("limit: small", "limit: large")
            .replace("priority: normal", "priority: urgent")
            .replace("rate_per_second: 50", "rate_per_second: 0");
        let path = write_file(&fleet, "faulty.yaml", &text);

        let applied = tool.run(&["apply", &path]);
        let present = tool.run(&["get"]);

        assert_eq!(applied.code, REFUSED);
        assert_text(
            &expect![[r"
                masticarch: the change is refused and nothing has changed:
                  2004 out_of_range: limit small, field rate_per_second: 0 is not in 0.1 to 1000000
                  2001 dangling_name: team arica, field limit: no limit is named large
                  2001 dangling_name: route guiones, field priority: no priority is named urgent"]],
            &applied.error,
        );
        assert!(!present.output.contains("arica"), "{}", present.output);
    });
}

// Guards against exit codes by which scripts cannot tell failures apart. The
// argument `SMALL` stands for the path of a file with a valid configuration.
#[rstest]
#[case::file_is_missing(&["apply", "absent.yaml"], BAD_FILE)]
#[case::object_is_missing(&["delete", "route", "absent"], REFUSED)]
#[case::version_is_old(&["apply", "SMALL", "--expect", "0"], CONFLICT)]
fn each_failure_has_its_exit_code(#[case] arguments: &[&str], #[case] code: i32) {
    run(async {
        let fleet = fleet(1).await;
        let tool = Tool::new(&fleet, "operator.secret");
        let path = write_file(&fleet, "small.yaml", CONFIGURATION);
        let arguments: Vec<_> = arguments
            .iter()
            .map(|text| {
                if *text == "SMALL" {
                    path.as_str()
                } else {
                    text
                }
            })
            .collect();

        let outcome = tool.run(&arguments);

        assert_eq!(outcome.code, code, "{}", outcome.error);
    });
}

// Guards against an operator port that accepts a wrong credential, and against an
// exit code that reports the control processes as unreachable instead.
#[rstest]
#[case::wrong_secret("wrong.secret", "tester")]
#[case::unknown_name("operator.secret", "stranger")]
fn wrong_credential_is_refused_and_told(#[case] secret: &str, #[case] name: &str) {
    run(async {
        let fleet = fleet(1).await;
        write_file(&fleet, "wrong.secret", "some other secret of 32 letters.");
        let tool = Tool::new(&fleet, secret);

        let outcome = tool.run(&["--operator", name, "get"]);

        assert_eq!(outcome.code, BAD_CREDENTIAL, "{}", outcome.error);
    });
}

// Guards against a tool that fails when the control process that it uses is lost,
// and against one that reports success without a majority.
#[test]
fn tool_survives_the_loss_of_control_processes() {
    run(async {
        let mut fleet = fleet(3).await;
        let tool = Tool::new(&fleet, "operator.secret");
        let path = write_file(&fleet, "small.yaml", CONFIGURATION);

        let before = tool.run(&["apply", &path]);
        fleet.controls[0].process.kill().unwrap();
        let with_two = tool.run(&["key", "issue", "arica-1", "--team", "arica"]);
        fleet.controls[1].process.kill().unwrap();
        let with_one = tool.run(&["get"]);

        assert_eq!(before.code, DONE, "{}", before.error);
        assert_eq!(with_two.code, DONE, "{}", with_two.error);
        assert_eq!(with_one.code, UNREACHABLE, "{}", with_one.error);
    });
}
