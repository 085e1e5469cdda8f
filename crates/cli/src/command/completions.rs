//! `masticarch completions`.

use clap::CommandFactory;
use clap_complete::Shell;

use crate::arguments;

/// Prints a completion script.
pub fn run(shell: Shell) {
    let mut command = arguments::Arguments::command();
    clap_complete::generate(shell, &mut command, "masticarch", &mut std::io::stdout());
}
