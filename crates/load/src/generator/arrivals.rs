//! Arrival times of one team's requests, as a Poisson process.

use std::time::Duration;

use super::{plan, team};

/// A time span with a constant rate of requests per second; it ends at `end`,
/// counted from the start of the run.
struct Span {
    end: Duration,
    rate: f64,
}

/// Iterator over the arrival times of one team, counted from the start of the
/// run.
pub struct Arrivals {
    spans: Vec<Span>,
    now: Duration,
    random: fastrand::Rng,
}

impl Arrivals {
    /// Creates the arrivals of a team; the same seed gives the same times.
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
            // The exponential distribution is memoryless, so the gap is drawn
            // again from the boundary of the span.
            self.now = span.end;
        }
        None
    }
}
