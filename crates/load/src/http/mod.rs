//! HTTP/1.1 with whole bodies, as the stand-in and the generator need it.

pub mod connection;
pub mod server;
