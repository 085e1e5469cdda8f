//! Divides the limit of one team among its holders by their demand, max-min fair.

use super::lease;

/// Fraction of a limit that is reserved per active holder. The reserve is for
/// holders that become active or whose bucket is empty.
const RESERVE_RATIO_PER_HOLDER: f64 = 0.04;
/// Largest fraction of a limit that is reserved, unless the team is crowded.
const MAX_RESERVE_RATIO: f64 = 0.2;
/// Burst per holder below which a team is crowded: each holder gets so few requests
/// that its demand does not predict the next second.
const CROWDED_BURST_PER_HOLDER: f64 = 8.0;
/// Fraction of the limit that is reserved for a crowded team. Tokens in shares can
/// be unused while requests wait at other holders; the reserve is for those requests.
const CROWDED_RESERVE_RATIO: f64 = 0.5;
/// Rate per unit of demand if the limit allows it, so that demand can grow between
/// two reports.
const HEADROOM_FACTOR: f64 = 1.25;
/// Fraction of the remaining rate that is leased as well, in proportion to demand.
/// With 0.5, when a team becomes active on six nodes at once, the first nodes hold
/// so much that nothing is left for the last ones until the next reports.
const SPARE_RATIO: f64 = 0.25;
/// Smallest burst of an active holder, in requests, if the limit allows it.
const MIN_BUCKET_BURST: f64 = 4.0;

/// Allocation of a limit among the present holders.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allocation {
    limit: lease::Share,
    /// Demand in requests per second above which a holder gets no more rate.
    ceiling: f64,
    /// Rate per unit of demand up to the ceiling.
    scale: f64,
    /// Smallest burst of an active holder, in requests.
    min_bucket_burst: f64,
    /// Burst that is allocated in proportion to rate.
    divided_burst: f64,
    /// Burst per unit of demand if there is less than one request of burst per
    /// holder; otherwise `None`.
    scarce_burst: Option<f64>,
    /// Whether holders of a share draw tokens for waiting requests as well.
    allows_draws: bool,
}

impl Allocation {
    /// Allocates a limit by the demand of its holders, in requests per second.
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

    /// Whether a holder with a share may also draw tokens for waiting requests. If
    /// a few busy holders demand more than the limit, tokens are allocated by shares
    /// only, because the holders that ask most often would get most of them.
    pub const fn allows_draws(&self) -> bool {
        self.allows_draws
    }

    /// The share that a holder with this demand should have. Its burst may be below
    /// 1, which is of no use to the holder.
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

/// The largest rate of one holder such that the sum of all rates does not exceed
/// `usable`; infinite if all demand is met. `demands` is in ascending order.
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

/// The rate per unit of demand. Headroom is only given from the rate that is left
/// when all demand is met, so that it is never taken from the busiest holder.
fn scale(demands: &[f64], usable: f64) -> f64 {
    let sum: f64 = demands.iter().sum();
    if sum <= 0.0 || sum >= usable {
        return 1.0;
    }
    let whole = usable / sum;
    whole.min(HEADROOM_FACTOR) + SPARE_RATIO * (whole - HEADROOM_FACTOR).max(0.0)
}

/// A number of holders as a floating-point number.
fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
