//! Keys of requests in flight at the entry node.

use slotmap::new_key_type;

new_key_type! {
    /// Key of a request in flight at the entry node. The key of a request that
    /// has ended finds none.
    pub struct RequestKey;
}
