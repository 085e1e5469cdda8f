//! Communication between processes: messages and their encoding, the membership
//! handshake, remote calls, and HTTP/1.1 with limits on what a peer may send.
//!
//! The crate holds no policy: it does not decide which requests are served.

pub mod error;
pub mod generated;
pub mod handshake;
pub mod header;
pub mod http;
pub mod link;
pub mod message;
pub mod rpc;
pub mod socket;

// The generated code expects its module at the root of the crate.
pub use generated::masticarch_capnp;
