//! Key of a running call.

use slotmap::new_key_type;

new_key_type! {
    /// Key of a call that runs at a target beside this node.
    pub struct CallKey;
}
