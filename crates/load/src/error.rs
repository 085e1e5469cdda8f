//! Errors of the load tests.

use quick_error::quick_error;

quick_error! {
    /// What can go wrong in a load test.
    #[derive(Debug)]
    pub enum Error {
        /// The operating system reports an error.
        Io(source: std::io::Error) {
            from()
            source(source)
            display("{source}")
        }
        /// The other side broke HTTP/1.1 or closed the connection.
        Http(reason: &'static str) {
            display("HTTP exchange failed: {reason}")
        }
        /// Something did not happen in time.
        Timeout(what: String) {
            display("timed out waiting for {what}")
        }
        /// A service of this process has stopped.
        Kernel(source: masticarch_kernel::error::Error) {
            from()
            source(source)
            display("{source}")
        }
        /// A remote call failed.
        Wire(source: masticarch_wire::error::Error) {
            from()
            source(source)
            display("{source}")
        }
        /// A call by an operator was answered with a refusal.
        Refused(answer: String) {
            display("the call was refused: {answer}")
        }
        /// A file or message cannot be read.
        Parse(reason: String) {
            display("cannot be read: {reason}")
        }
        /// A program cannot be found.
        NotFound(program: String) {
            display("{program} cannot be found")
        }
    }
}
