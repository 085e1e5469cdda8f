//! Data types shared by all crates of masticarch: the objects that operators
//! configure, identifiers, commands of the replicated log, result codes, and the
//! state machine that the log is applied to.
//!
//! Nothing here does I/O or reads a clock.

pub mod access;
pub mod answer;
pub mod attempt;
pub mod catalog;
pub mod change;
pub mod check;
pub mod claim;
pub mod code;
pub mod command;
pub mod configuration;
pub mod delta;
pub mod destination;
pub mod directory;
pub mod document;
pub mod edit;
pub mod finding;
pub mod incarnation;
pub mod key;
pub mod kind;
pub mod limit;
pub mod map;
pub mod member;
pub mod name;
pub mod node;
pub mod object;
pub mod outcome;
pub mod place;
pub mod priority;
pub mod ran;
pub mod renewal;
pub mod route;
pub mod run;
pub mod secret;
pub mod settlement;
pub mod target;
pub mod team;
pub mod version;
pub mod view;
