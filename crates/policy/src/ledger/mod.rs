//! Deduplication of a caller's resends by request id.

mod entry;
pub mod refusal;
pub mod table;
