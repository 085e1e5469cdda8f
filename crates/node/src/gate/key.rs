//! Keys of requests in flight at the entry node.

use slotmap::new_key_type;

new_key_type! {
    /// Copyable key of a request in flight at the entry node.
    pub struct RequestKey;
}
