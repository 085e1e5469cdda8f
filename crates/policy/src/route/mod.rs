//! Choice of the service and the target of a request: traffic splitting and
//! locality-aware load balancing.

pub mod load;
pub mod locality;
pub mod pool;
pub mod split;
