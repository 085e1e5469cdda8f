//! Errors of the daemon.

use std::path::PathBuf;

use masticarch_model::code;
use quick_error::quick_error;

quick_error! {
    /// Why the daemon stops.
    #[derive(Debug)]
    pub enum Error {
        /// The settings file has faults; `faults` has one a line.
        Settings(faults: String) {
            display("{}\n{faults}", code::Code::BadSettings)
        }
        /// A file cannot be read or written.
        File(path: PathBuf, source: std::io::Error) {
            source(source)
            display("{}: {source}", path.display())
        }
        /// The operating system reports an error.
        Io(source: std::io::Error) {
            from()
            source(source)
            display("{source}")
        }
        /// The node role stopped with an error.
        Node(source: masticarch_node::error::Error) {
            from()
            source(source)
            display("node: {source}")
        }
        /// The control role stopped with an error.
        Control(source: masticarch_control::error::Error) {
            from()
            source(source)
            display("control: {source}")
        }
        /// The example target stopped with an error.
        Target(source: masticarch_load::error::Error) {
            from()
            source(source)
            display("example target: {source}")
        }
        /// The example configuration could not be applied.
        Example(source: masticarch_client::error::Error) {
            from()
            source(source)
            display("example configuration: {source}")
        }
    }
}
