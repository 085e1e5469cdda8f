//! What a holder reports to the owner of the limit.

use crate::share::Share;

/// What a holder reports to the owner of the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Share held and used from now on.
    pub held: Share,
    /// Tokens released with this report.
    pub released: f64,
    /// Requests per second, refused ones included.
    pub demand_per_second: f64,
    /// Tokens that waiting requests need now.
    pub wanted: f64,
}
