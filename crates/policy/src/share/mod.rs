//! Leased shares of team limits.

mod account;
pub mod lease;
mod level;
pub mod owner;
