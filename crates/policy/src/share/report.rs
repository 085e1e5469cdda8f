//! Report of a holder on one team.

use crate::share::Share;

/// Report of a holder on one team, without the name of the team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Share that the holder uses from now on.
    pub held: Share,
    /// Tokens that this report returns to the owner's pool.
    pub released: f64,
    /// Measured demand, including refused requests.
    pub demand_per_second: f64,
    /// Tokens that waiting requests need now, beyond those in the bucket.
    pub wanted: f64,
}
