//! HTTP/1.1 client and server that read and write whole bodies.

pub mod connection;
pub mod server;
