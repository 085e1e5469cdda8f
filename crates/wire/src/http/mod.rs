//! HTTP/1.1 with guards: heads are checked before the decoder sees them, and
//! bodies are read whole and within limits.

pub mod answer;
pub mod budget;
pub mod connection;
pub mod fault;
pub mod fields;
pub mod framing;
pub mod guard;
pub mod limits;
pub mod request;
