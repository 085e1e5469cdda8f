//! Options of the store.

use bon::Builder;

/// Options of the store.
#[derive(Clone, Copy, Debug, Builder)]
pub struct Options {
    /// Size in bytes above which a new segment of the log is begun. A segment
    /// is read into memory as a whole when the store is opened.
    #[builder(default = 8 << 20)]
    pub segment_bytes: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self::builder().build()
    }
}
