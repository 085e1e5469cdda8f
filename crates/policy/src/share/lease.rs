//! What the owner of a limit and the holders of its shares tell each other.

use std::time::Duration;

use masticarch_model::{incarnation, name};

/// Time for which a share may be used, by the holder's clock, from before the
/// request was sent.
pub const DURATION: Duration = Duration::from_millis(2850);
/// Time for which the owner counts a share, by its own clock: the lease and 5%
/// for clocks that run at different rates.
pub const OWNER_DURATION: Duration = Duration::from_secs(3);

/// Time for which drawn tokens may be used, by the holder's clock, from before
/// the request was sent. A request waits for a token no longer.
pub const DRAW_DURATION: Duration = Duration::from_millis(400);
/// Time for which the owner counts drawn tokens, by its own clock.
pub const DRAW_OWNER_DURATION: Duration = Duration::from_millis(420);

/// Part of a team's limit, or the whole of it.
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

    /// What is left of this share without another, at least 0.
    #[must_use]
    pub const fn less(self, other: Self) -> Self {
        Self {
            rate: (self.rate - other.rate).max(0.0),
            burst: (self.burst - other.burst).max(0.0),
        }
    }

    /// Whether nothing can be used of the share.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.rate <= 0.0 && self.burst <= 0.0
    }
}

/// A holder's report on one team.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The team.
    pub team: name::Name,
    /// Share that the holder uses from now on.
    pub held: Share,
    /// Tokens released to the owner. A holder reports a release once, even if
    /// the report may be lost.
    pub released: f64,
    /// Measured demand in requests per second, refused ones included.
    pub demand: f64,
    /// Tokens that waiting requests need now, beyond those in the bucket.
    pub wanted: f64,
}

/// A holder's reports on its teams.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The holder.
    pub node: incarnation::Incarnation,
    /// Number of the connection. A holder that gives up on a reply opens a
    /// later connection, so that a late request on the earlier one is known to
    /// be out of date.
    pub connection: u64,
    /// One report for each team.
    pub reports: Vec<Report>,
}

/// What the owner grants to a holder for one team.
#[derive(Clone, Debug, PartialEq)]
pub struct Grant {
    /// The team.
    pub team: name::Name,
    /// Share that the holder may use until the lease ends.
    pub share: Share,
    /// Tokens moved from the owner's pool into the holder's bucket.
    pub tokens: f64,
    /// Whole tokens for waiting requests; they count apart from the share, and
    /// only for [`DRAW_DURATION`].
    pub drawn: f64,
}

/// The limit of one team.
#[derive(Clone, Debug, PartialEq)]
pub struct Limit {
    /// The team.
    pub team: name::Name,
    /// Rate and burst over the whole fleet.
    pub whole: Share,
}

/// What is leased of one team's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Usage {
    /// The team.
    pub team: name::Name,
    /// Rate and burst over the whole fleet.
    pub whole: Share,
    /// Sum of the shares that holders may be using.
    pub leased: Share,
    /// Sum of the reported demand in requests per second.
    pub demand: f64,
}
