//! Builds the daemon and the operators' tool before the first fleet starts.

use std::path::Path;
use std::process::Command;
use std::sync::OnceLock;

use masticarch_load::fleet::binary;

static BUILT: OnceLock<()> = OnceLock::new();

/// Builds `masticarchd` and `masticarch` in the profile of the tests, once per test
/// program.
///
/// `cargo test --workspace` does not build the binaries of packages without
/// integration tests of their own, so outdated ones could be used. Cargo is run
/// only when it also started the tests and the environment does not name another
/// binary of the daemon.
///
/// # Panics
/// When the build fails.
pub fn build() {
    BUILT.get_or_init(|| {
        let Some(cargo) = std::env::var_os("CARGO") else {
            return;
        };
        if std::env::var_os(binary::VARIABLE).is_some() {
            return;
        }
        let test_program = std::env::current_exe().expect("the test program has a path");
        let profile = test_program
            .ancestors()
            .nth(2)
            .expect("the test program lies in <profile>/deps");
        let status = command(Path::new(&cargo), profile)
            .status()
            .expect("cargo can be started");
        assert!(status.success(), "{} cannot be built", binary::PROGRAM);
    });
}

fn command(cargo: &Path, profile: &Path) -> Command {
    let manifest = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../Cargo.toml");
    let target = profile
        .parent()
        .expect("the profile lies in the target directory");
    let mut command = Command::new(cargo);
    command
        .args([
            "build",
            "--quiet",
            "--locked",
            "--package",
            "masticarch-daemon",
            "--package",
            "masticarch-cli",
        ])
        .arg("--manifest-path")
        .arg(manifest)
        .arg("--target-dir")
        .arg(target);
    if profile.ends_with("release") {
        command.arg("--release");
    }
    command
}
