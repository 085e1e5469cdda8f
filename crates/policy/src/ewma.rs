//! Exponentially weighted moving average.

use std::time::Duration;

/// Weight of a new sample. About the last eight samples determine the mean, so
/// that a fivefold slowdown shows within a few answers.
const SAMPLE_WEIGHT: f64 = 0.125;

/// An exponentially weighted moving average of durations.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ewma {
    mean_seconds: Option<f64>,
}

impl Ewma {
    /// Adds a sample. The first one becomes the mean.
    pub fn add(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        self.mean_seconds = Some(match self.mean_seconds {
            Some(mean) => mean + SAMPLE_WEIGHT * (sample - mean),
            None => sample,
        });
    }

    /// The mean; zero before the first sample.
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean_seconds.unwrap_or_default())
    }
}
