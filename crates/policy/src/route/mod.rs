//! Choice of the target for an attempt.

pub mod load;
pub mod locality;
pub mod pool;
pub mod split;
