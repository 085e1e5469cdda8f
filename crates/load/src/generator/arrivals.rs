//! Poisson arrivals of one team.

use std::time::Duration;

use super::{plan, team};

/// A span with a constant rate.
struct Span {
    end: Duration,
    rate: f64,
}

/// The arrival times of one team, as an iterator over the time since the start.
pub struct Arrivals {
    spans: Vec<Span>,
    now: Duration,
    random: fastrand::Rng,
}

impl Arrivals {
    /// Makes the arrivals of a team from a seed.
    #[must_use]
    pub fn new(phases: &[plan::Phase], team: &team::Team, seed: u64) -> Self {
        let mut end = Duration::ZERO;
        let spans = phases.iter().enumerate().map(|(index, phase)| {
            end += Duration::from_millis(phase.duration_ms);
            let factor = team.factors.get(index).copied().unwrap_or(phase.factor);
            let rate = team.rate * factor;
            Span { end, rate }
        });
        Self {
            spans: spans.collect(),
            now: Duration::ZERO,
            random: fastrand::Rng::with_seed(seed),
        }
    }
}

impl Iterator for Arrivals {
    type Item = Duration;

    fn next(&mut self) -> Option<Duration> {
        for span in &self.spans {
            if self.now >= span.end {
                continue;
            }
            if span.rate > 0.0 {
                let gap = -(1.0 - self.random.f64()).ln() / span.rate;
                let next = self.now + Duration::from_secs_f64(gap);
                if next < span.end {
                    self.now = next;
                    return Some(next);
                }
            }
            // Exponential gaps have no memory, so the draw starts afresh at the
            // boundary of a span.
            self.now = span.end;
        }
        None
    }
}
