//! Errors of the load tests.

use quick_error::quick_error;

quick_error! {
    /// An error of the harness itself; refused requests of a load aren't errors.
    #[derive(Debug)]
    pub enum Error {
        /// The operating system reported an error.
        Io(source: std::io::Error) {
            from()
            source(source)
            display("{source}")
        }
        /// The peer violated HTTP/1.1 or closed the connection.
        Http(reason: &'static str) {
            display("HTTP exchange failed: {reason}")
        }
        /// An awaited event did not happen within its timeout.
        Timeout(what: String) {
            display("timed out waiting for {what}")
        }
        /// A kernel service of this process has stopped or cannot be found.
        Kernel(source: masticarch_kernel::error::Error) {
            from()
            source(source)
            display("{source}")
        }
        /// A call to a control process failed in transport or decoding.
        Wire(source: masticarch_wire::error::Error) {
            from()
            source(source)
            display("{source}")
        }
        /// A control process refused an operator's call, or an admin port answered
        /// with an error status.
        Refused(answer: String) {
            display("the call was refused: {answer}")
        }
        /// A file, flag or message is not valid.
        Parse(reason: String) {
            display("invalid input: {reason}")
        }
        /// A program, process, target or key does not exist.
        NotFound(what: String) {
            display("{what} cannot be found")
        }
    }
}
