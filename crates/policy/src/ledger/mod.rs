//! The ledger of a home node: recognises a caller's resends by their request id, and
//! keeps the retry credit that is left to each id.

mod entry;
pub mod refusal;
pub mod table;
