//! What crosses sockets: messages and their encodings, the membership
//! handshake, and HTTP/1.1 with guards. Nothing here decides.

pub mod error;
pub mod generated;
pub mod handshake;
pub mod header;
pub mod http;
pub mod link;
pub mod message;
pub mod rpc;
pub mod socket;

// The generated code refers to itself from the root of the crate.
pub use generated::masticarch_capnp;
