//! The operators' command-line tool, run as a process.

use std::path::PathBuf;
use std::process::Command;

use masticarch_load::fleet;
use masticarch_load::fleet::binary;

/// File name of the tool's binary.
const PROGRAM: &str = "masticarch";

/// The operators' tool with settings for one fleet.
#[derive(Clone, Debug)]
pub struct Tool {
    program: PathBuf,
    settings: PathBuf,
}

/// Result of one run of the tool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Exit code; -1 when a signal ended the tool.
    pub code: i32,
    /// Standard output.
    pub output: String,
    /// Standard error.
    pub error: String,
}

impl Tool {
    /// Writes the tool's settings for a fleet into the fleet's directory. The
    /// operator's secret is in `secret_file` in the same directory.
    ///
    /// # Panics
    /// When the settings cannot be written or the daemon's binary is missing.
    #[must_use]
    pub fn new(fleet: &fleet::Fleet, secret_file: &str) -> Self {
        let control: Vec<_> = fleet
            .controls
            .iter()
            .map(|control| control.settings.operator.to_string())
            .collect();
        let text = format!(
            "control: [{}]\noperator: {}\nsecret_file: {secret_file}\n",
            control.join(", "),
            fleet.controls[0].settings.operators[0].name,
        );
        let settings = fleet.directory().join(format!("tool-{secret_file}.yaml"));
        std::fs::write(&settings, text).expect("the directory of the fleet is writable");
        let daemon = binary::locate().expect("the daemon is built");
        Self {
            program: daemon.with_file_name(PROGRAM),
            settings,
        }
    }

    /// Runs the tool and waits until it exits.
    ///
    /// # Panics
    /// When it cannot be started.
    #[must_use]
    pub fn run(&self, arguments: &[&str]) -> Run {
        let output = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .args(["--timeout-ms", "6000"])
            .args(arguments)
            .output()
            .expect("the tool can be started");
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        Run {
            code: output.status.code().unwrap_or(-1),
            output: text(&output.stdout),
            error: text(&output.stderr),
        }
    }
}
