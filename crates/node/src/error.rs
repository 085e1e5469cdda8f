//! Errors of the node role.

use quick_error::quick_error;

quick_error! {
    /// Why a node cannot run.
    #[derive(Debug)]
    pub enum Error {
        /// A port cannot be opened.
        Io(source: std::io::Error) {
            from()
            source(source)
            display("port cannot be opened: {source}")
        }
        /// A service is registered twice or missing.
        Kernel(source: masticarch_kernel::error::Error) {
            from()
            source(source)
            display("services cannot be started: {source}")
        }
        /// A metric is defined twice.
        Metrics(source: prometheus::Error) {
            from()
            source(source)
            display("metrics cannot be registered: {source}")
        }
    }
}
