//! The subcommands of the daemon.

pub mod control;
pub mod local;
pub mod node;
pub mod serve;

use crate::{arguments, error};

/// Runs what the command line asks for.
///
/// # Errors
/// See [`error::Error`].
pub fn run(arguments: arguments::Arguments) -> Result<(), error::Error> {
    match arguments.command {
        arguments::Command::Node(role) => node::run(&role),
        arguments::Command::Control(role) => control::run(&role),
        arguments::Command::Local(local) => local::run(&local),
    }
}
