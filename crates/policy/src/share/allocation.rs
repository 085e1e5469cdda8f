//! Max-min fair division of a limit by demand.

use super::lease;

/// Part of a limit for each active holder that is kept for holders that become
/// active, or whose requests find their bucket empty.
const RESERVE_RATIO_PER_HOLDER: f64 = 0.04;
/// Largest part that is kept.
const MAX_RESERVE_RATIO: f64 = 0.2;
/// Burst for each holder below which a team is crowded: its holders see so few
/// requests each that their demand tells little about the next second.
const CROWDED_BURST_PER_HOLDER: f64 = 8.0;
/// Part of the limit of a crowded team that is kept. Tokens in shares lie unused
/// while requests wait at other holders; what is kept goes to those.
const CROWDED_RESERVE_RATIO: f64 = 0.5;
/// Rate for each unit of demand when the limit allows it, so that demand can
/// grow between two reports.
const HEADROOM_FACTOR: f64 = 1.25;
/// Part of the rate beyond that which is leased, in proportion to demand. With a
/// half, the first nodes of a team that becomes active on six nodes at once held
/// so much that nothing was left for the last ones until the next reports.
const SPARE_RATIO: f64 = 0.25;
/// Smallest bucket of an active holder, in requests, if the burst allows it.
const MIN_BUCKET_BURST: f64 = 4.0;

/// How a limit is divided among the present holders.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allocation {
    limit: lease::Share,
    /// Most of its demand that a holder gets.
    ceiling: f64,
    /// Rate for each unit of demand up to the ceiling.
    scale: f64,
    /// Smallest bucket of an active holder.
    min_bucket_burst: f64,
    /// Burst that is divided in proportion to rate.
    divided_burst: f64,
    /// Where there is less than one request of burst for each holder: burst for
    /// each unit of demand.
    scarce_burst: Option<f64>,
    /// Whether holders of a share draw tokens for waiting requests as well.
    allows_draws: bool,
}

impl Allocation {
    /// Divides a limit by the demand of its holders.
    pub fn new(limit: lease::Share, demand: impl Iterator<Item = f64>) -> Self {
        let mut demands: Vec<f64> = demand.filter(|demand| *demand > 0.0).collect();
        demands.sort_by(f64::total_cmp);
        let count = as_f64(demands.len());
        let sum: f64 = demands.iter().sum();
        let spare = 1.0 - HEADROOM_FACTOR * sum / limit.rate;
        let max_reserve = (RESERVE_RATIO_PER_HOLDER * count).min(MAX_RESERVE_RATIO);
        let leased_ratio = 1.0
            - spare.clamp(
                RESERVE_RATIO_PER_HOLDER,
                max_reserve.max(RESERVE_RATIO_PER_HOLDER),
            );
        let crowded = limit.burst < CROWDED_BURST_PER_HOLDER * count;
        let leased_ratio = if crowded {
            1.0 - CROWDED_RESERVE_RATIO
        } else {
            leased_ratio
        };
        let usable = limit.rate * leased_ratio;
        let usable_burst = limit.burst * leased_ratio;
        let min_bucket_burst = (usable_burst / count.max(1.0)).clamp(1.0, MIN_BUCKET_BURST);
        Self {
            limit,
            ceiling: ceiling(&demands, usable),
            scale: scale(&demands, usable),
            min_bucket_burst,
            divided_burst: (usable_burst - min_bucket_burst * count).max(0.0),
            allows_draws: crowded || sum < usable,
            scarce_burst: (usable_burst < count).then(|| usable_burst / sum),
        }
    }

    /// Whether holders of a share draw tokens for waiting requests as well. Where a
    /// few busy holders want more than the limit, tokens are divided by shares only,
    /// because those who ask most often would get most.
    pub const fn allows_draws(&self) -> bool {
        self.allows_draws
    }

    /// The share that a holder should have; a bucket for less than one request
    /// is of no use to it.
    pub fn target(&self, demand: f64) -> lease::Share {
        if demand <= 0.0 || self.limit.is_empty() {
            return lease::Share::default();
        }
        let rate = demand.min(self.ceiling) * self.scale;
        let burst = match self.scarce_burst {
            Some(scarce) => demand * scarce,
            None => self.min_bucket_burst + self.divided_burst * rate / self.limit.rate,
        };
        lease::Share { rate, burst }
    }
}

/// The most that one holder gets, such that the sum does not exceed `usable`.
/// `wanted` is in ascending order.
fn ceiling(demands: &[f64], usable: f64) -> f64 {
    let mut left = usable;
    for (index, demand) in demands.iter().enumerate() {
        let even = left / as_f64(demands.len() - index);
        if *demand > even {
            return even;
        }
        left -= demand;
    }
    f64::INFINITY
}

/// The rate for each unit of demand. Headroom is only given from what is left
/// when all demand is met, so that it is never taken from the busiest holder.
fn scale(demands: &[f64], usable: f64) -> f64 {
    let sum: f64 = demands.iter().sum();
    if sum <= 0.0 || sum >= usable {
        return 1.0;
    }
    let whole = usable / sum;
    whole.min(HEADROOM_FACTOR) + SPARE_RATIO * (whole - HEADROOM_FACTOR).max(0.0)
}

/// A number of holders as a factor.
fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
