//! Max-min fair division of a limit by demand.

use super::lease;

/// Part of a limit that is kept for holders that become active, so that they
/// need not wait until the others have shrunk.
const RESERVE: f64 = 0.04;
/// Rate that a holder may get for each unit of its demand, so that demand can
/// grow between two reports.
const HEADROOM: f64 = 1.25;
/// Part of the rate beyond all demand that is leased, in proportion to demand.
const SPARE: f64 = 0.5;
/// Smallest bucket of an active holder, in requests, if the burst allows it.
const SMALLEST_BURST: f64 = 4.0;

/// How a limit is divided among the present holders.
#[derive(Clone, Copy, Debug, Default)]
pub struct Level {
    limit: lease::Share,
    /// Most that a holder gets of what it wants.
    ceiling: f64,
    /// Factor on what holders get when the limit exceeds all demand.
    scale: f64,
    /// Smallest bucket of an active holder.
    smallest_burst: f64,
    /// Burst that is divided in proportion to rate.
    divided_burst: f64,
}

impl Level {
    /// Divides a limit by the demand of its holders.
    pub fn new(limit: lease::Share, demand: impl Iterator<Item = f64>) -> Self {
        let mut wanted: Vec<f64> = demand
            .filter(|demand| *demand > 0.0)
            .map(|demand| demand * HEADROOM)
            .collect();
        wanted.sort_by(f64::total_cmp);
        let count = number(wanted.len());
        let usable = limit.rate * (1.0 - RESERVE);
        let usable_burst = limit.burst * (1.0 - RESERVE);
        let smallest_burst = (usable_burst / count.max(1.0)).clamp(1.0, SMALLEST_BURST);
        Self {
            limit,
            ceiling: ceiling(&wanted, usable),
            scale: scale(&wanted, usable),
            smallest_burst,
            divided_burst: (usable_burst - smallest_burst * count).max(0.0),
        }
    }

    /// The share that a holder should have.
    pub fn target(&self, demand: f64) -> lease::Share {
        if demand <= 0.0 || self.limit.is_empty() {
            return lease::Share::default();
        }
        let rate = (demand * HEADROOM).min(self.ceiling) * self.scale;
        let burst = self.smallest_burst + self.divided_burst * rate / self.limit.rate;
        lease::Share { rate, burst }
    }
}

/// The most that one holder gets, such that the sum does not exceed `usable`.
/// `wanted` is in ascending order.
fn ceiling(wanted: &[f64], usable: f64) -> f64 {
    let mut left = usable;
    for (index, want) in wanted.iter().enumerate() {
        let even = left / number(wanted.len() - index);
        if *want > even {
            return even;
        }
        left -= want;
    }
    f64::INFINITY
}

/// The factor by which shares exceed what is wanted.
fn scale(wanted: &[f64], usable: f64) -> f64 {
    let sum: f64 = wanted.iter().sum();
    if sum <= 0.0 || sum >= usable {
        return 1.0;
    }
    1.0 + SPARE * (usable - sum) / sum
}

/// A number of holders as a factor.
fn number(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
