//! Errors of connections and remote calls between processes.

use quick_error::quick_error;

quick_error! {
    /// Why a connection or a remote call failed.
    #[derive(Debug)]
    pub enum Error {
        /// The operating system reports an error.
        Io(source: std::io::Error) {
            from()
            source(source)
            display("connection failed: {source}")
        }
        /// The other side does not know the secret, speaks another protocol, or is
        /// connected for another role.
        Handshake(reason: &'static str) {
            display("membership handshake failed: {reason}")
        }
        /// The other side did not answer in time.
        Timeout {
            display("the other side did not answer in time")
        }
        /// A message cannot be decoded.
        Decode(source: postcard::Error) {
            from()
            source(source)
            display("message cannot be decoded: {source}")
        }
        /// A remote call failed.
        Rpc(source: capnp::Error) {
            from()
            source(source)
            display("remote call failed: {source}")
        }
    }
}
