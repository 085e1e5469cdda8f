//! Decisions on the request path, without sockets, clocks or encodings.

pub mod share;
