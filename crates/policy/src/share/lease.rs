//! Leases of shares: messages between the owner of the limits and the holders.

use std::time::Duration;

use masticarch_model::{incarnation, name};

/// Time for which a holder may use a share, by its own clock, counted from before
/// it sent the request.
pub const DURATION: Duration = Duration::from_millis(2850);
/// Time for which the owner counts a share as in use, by its own clock: the
/// holder's duration plus 5% for clocks that run at different rates.
pub const OWNER_DURATION: Duration = Duration::from_secs(3);

/// Time for which a holder may use drawn tokens, by its own clock, counted from
/// before it sent the request. It is far above a round trip between regions, and short because
/// drawn tokens count towards the burst.
pub const DRAW_DURATION: Duration = Duration::from_millis(250);
/// Time for which the owner counts drawn tokens as in use, by its own clock.
pub const DRAW_OWNER_DURATION: Duration = Duration::from_millis(263);

/// Rate and burst of a team's limit, or of a part of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Requests per second.
    pub rate: f64,
    /// Capacity of the token bucket, in requests.
    pub burst: f64,
}

impl Share {
    /// The smaller rate and the smaller burst of two shares.
    #[must_use]
    pub const fn min(self, other: Self) -> Self {
        Self {
            rate: self.rate.min(other.rate),
            burst: self.burst.min(other.burst),
        }
    }

    /// The larger rate and the larger burst of two shares.
    #[must_use]
    pub const fn max(self, other: Self) -> Self {
        Self {
            rate: self.rate.max(other.rate),
            burst: self.burst.max(other.burst),
        }
    }

    /// The sum of two shares.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            rate: self.rate + other.rate,
            burst: self.burst + other.burst,
        }
    }

    /// The difference of two shares; rate and burst are at least 0.
    #[must_use]
    pub const fn minus(self, other: Self) -> Self {
        Self {
            rate: (self.rate - other.rate).max(0.0),
            burst: (self.burst - other.burst).max(0.0),
        }
    }

    /// This fraction of a share.
    #[must_use]
    pub const fn scaled(self, ratio: f64) -> Self {
        Self {
            rate: self.rate * ratio,
            burst: self.burst * ratio,
        }
    }

    /// Whether both rate and burst are 0.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.rate <= 0.0 && self.burst <= 0.0
    }
}

/// Report of a holder on one team.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Team that the report is on.
    pub team: name::Name,
    /// Share that the holder uses from now on.
    pub held: Share,
    /// Tokens that the holder returns to the owner's pool. A holder reports them
    /// only once, even if the report may be lost.
    pub released: f64,
    /// Measured demand in requests per second, including refused requests.
    pub demand: f64,
    /// Tokens that waiting requests need now, beyond those in the bucket.
    pub wanted: f64,
}

/// Reports of a holder on its teams, which renew its leases.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Holder that reports.
    pub node: incarnation::Incarnation,
    /// Number of the connection; it increases. A holder that stops waiting for a
    /// reply opens a new connection, so that the owner recognises a late request on
    /// the earlier one as out of date.
    pub connection: u64,
    /// One report for each team.
    pub reports: Vec<Report>,
}

/// Grant of the owner to a holder for one team.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// Team of the report that the grant answers.
    pub team: name::Name,
    /// Share that the holder may use for [`DURATION`].
    pub share: Share,
    /// Tokens moved from the owner's pool into the holder's bucket.
    pub tokens: f64,
    /// Drawn tokens: a whole number of tokens from the owner's pool for waiting
    /// requests, in addition to the share and valid for [`DRAW_DURATION`].
    pub drawn: f64,
}

/// The limit of one team.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// Team that the limit applies to.
    pub team: name::Name,
    /// Rate and burst over the whole fleet.
    pub whole: Share,
}

/// Usage of one team's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Usage {
    /// Team that the limit applies to.
    pub team: name::Name,
    /// Rate and burst over the whole fleet.
    pub whole: Share,
    /// Sum of the shares that holders may be using.
    pub leased: Share,
    /// Sum of the reported demand in requests per second.
    pub demand: f64,
}
