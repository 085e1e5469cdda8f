//! The operators' command-line tool.

pub mod arguments;
pub mod command;
pub mod document;
pub mod error;
pub mod output;
pub mod settings;
