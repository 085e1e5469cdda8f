//! `masticarch completions`.

use std::io::Write;

use clap::CommandFactory;
use clap_complete::Shell;

use crate::arguments;

/// Prints a completion script.
pub fn run(shell: Shell) {
    let mut command = arguments::Arguments::command();
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command, "masticarch", &mut script);
    // A reader such as `head` may close the pipe early; that is not an error.
    let _ = std::io::stdout().write_all(&script);
}
