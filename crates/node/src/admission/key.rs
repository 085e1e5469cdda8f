//! Keys of running calls.

use slotmap::new_key_type;

new_key_type! {
    /// Copyable key of a call that runs at a target beside this node.
    pub struct CallKey;
}
