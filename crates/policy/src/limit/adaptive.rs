//! A concurrency limit that adapts to the latency of the target.

use std::time::{Duration, Instant};

use crate::convert;
use crate::limit::window::Window;
use crate::limit::{Limiter, sample};

/// Fraction of the limit that applies while the reference latency is measured.
const PROBE_LIMIT_RATIO: f64 = 0.7;
/// Ratio of short to reference latency above which requests are assumed to queue
/// at the target. It is below `1 / PROBE_LIMIT_RATIO`, so that a limit above the
/// number of slots always falls: there, latency is proportional to the limit.
const LATENCY_TOLERANCE: f64 = 1.25;
/// Smallest factor by which the limit is multiplied at the end of one window.
const MIN_DECREASE_FACTOR: f64 = 0.7;
/// Growth factor per window while the limit is far below the last one at which
/// requests queued.
const RAMP_FACTOR: f64 = 1.5;
/// Fraction of the last limit at which requests queued, up to which the limit grows
/// by [`RAMP_FACTOR`].
const RAMP_LIMIT_RATIO: f64 = 0.5;
/// Windows after a decrease before the reference is measured again. A probe at
/// every decrease would cost capacity for each window that is slow by chance.
const WINDOWS_TO_PROBE_AFTER_DECREASE: u32 = 3;
/// Windows with the limit in use between two measurements of the reference.
const PROBE_INTERVAL_WINDOWS: u32 = 20;
/// Weight in the reference of a window that is faster than it by more than
/// [`LATENCY_TOLERANCE`].
const FASTER_WEIGHT: f64 = 0.5;
/// Weight in the reference of a window in which the limit was not in use, so that
/// no requests queued.
const IDLE_WEIGHT: f64 = 0.1;
/// Fraction of the limit in flight from which the limit counts as in use.
const IN_USE_RATIO: f64 = 0.9;

/// Warm-up after a change of phase, in mean latencies, during which samples are
/// ignored. The requests that end first are the short ones; including them gives
/// too low a latency and, under noise, halves the limit.
const WARM_UP_LATENCIES: f64 = 3.0;
/// Weight of one request in the moving average of latency that determines the
/// warm-up. The mean of the last window alone would extend the warm-up of a slow
/// service for seconds after the service has become fast again.
const RECENT_WEIGHT: f64 = 1.0 / 8.0;

/// Which latency the limiter measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The short latency, at the whole limit.
    Normal,
    /// The reference latency, at [`PROBE_LIMIT_RATIO`] of the limit.
    Probe,
}

/// Compares the latency at the whole limit (short) with that at a fraction of it
/// (reference). If both are equal, the target has free slots and the limit grows;
/// if latency rises with the limit, requests queue at the target and the limit
/// falls.
///
/// The all-time minimum is not used as the reference: the limit would collapse when
/// the service slows down permanently or when latency is mostly noise.
#[derive(Clone, Debug)]
pub struct Adaptive {
    limit: f64,
    ramp_until: f64,
    decreasing: bool,
    max_limit: f64,
    phase: Phase,
    warm_up_from: Option<Instant>,
    is_warm: bool,
    window: Window,
    recent_latency_seconds: f64,
    short_latency_seconds: f64,
    reference_latency_seconds: Option<f64>,
    windows_to_probe: u32,
}

impl Adaptive {
    fn add_sample(&mut self, sample: sample::Sample, in_flight: u32, now: Instant) {
        let seconds = sample.observed().as_secs_f64();
        let reference = self.reference_latency_seconds.unwrap_or_default();
        // A failure or cancellation before the reference latency tells nothing about
        // the latency of the target.
        if matches!(sample, sample::Sample::AtLeast(_)) && seconds <= reference {
            return;
        }
        let limit_in_use = f64::from(in_flight) >= IN_USE_RATIO * f64::from(self.current());
        self.window.add(seconds, limit_in_use, now);
    }

    /// Updates the warm-up, and returns whether the latency of a request that ends
    /// now belongs to the current phase.
    fn update_warm_up(&mut self, in_flight: u32, now: Instant) -> bool {
        if self.warm_up_from.is_none() && in_flight <= self.current() {
            self.warm_up_from = Some(now);
        }
        let latency = self.recent_latency_seconds.min(self.short_latency_seconds);
        let warm_up = Duration::from_secs_f64(WARM_UP_LATENCIES * latency);
        let warm = |since| now.saturating_duration_since(since) >= warm_up;
        self.is_warm |= self.warm_up_from.is_some_and(warm);
        self.is_warm
    }

    fn update_recent(&mut self, sample: sample::Sample) {
        let seconds = sample.observed().as_secs_f64();
        self.recent_latency_seconds += RECENT_WEIGHT * (seconds - self.recent_latency_seconds);
    }

    fn close_window(&mut self) {
        let window = std::mem::take(&mut self.window);
        match self.phase {
            Phase::Normal => self.close_normal_window(&window),
            Phase::Probe => {
                self.reference_latency_seconds = Some(window.mean());
                self.windows_to_probe = PROBE_INTERVAL_WINDOWS;
                self.enter_phase(Phase::Normal);
            }
        }
    }

    fn close_normal_window(&mut self, window: &Window) {
        let short = window.mean();
        self.short_latency_seconds = short;
        let reference = self.update_reference(short, window.limit_in_use());
        if !window.limit_in_use() {
            return;
        }
        self.windows_to_probe = self.windows_to_probe.saturating_sub(1);
        let ratio = short / reference.max(f64::MIN_POSITIVE);
        if ratio > LATENCY_TOLERANCE {
            self.decrease(ratio);
        } else {
            self.increase();
        }
        let lower = convert::floor_u32(self.limit * PROBE_LIMIT_RATIO).max(1);
        if self.windows_to_probe == 0 && lower < self.current() {
            self.enter_phase(Phase::Probe);
        }
    }

    /// Moves the reference towards the latency of a window when no probe is needed
    /// for that, and returns it. A window that is only slightly faster while the
    /// limit is in use is left to the next probe: moving towards each of these
    /// selects the fast half of the noise and halves the limit.
    fn update_reference(&mut self, short: f64, limit_in_use: bool) -> f64 {
        let reference = self.reference_latency_seconds.unwrap_or(short);
        let weight = if short * LATENCY_TOLERANCE < reference {
            FASTER_WEIGHT
        } else if limit_in_use {
            0.0
        } else {
            IDLE_WEIGHT
        };
        let updated = reference + weight * (short - reference);
        self.reference_latency_seconds = Some(updated);
        updated
    }

    fn decrease(&mut self, ratio: f64) {
        if !self.decreasing {
            self.decreasing = true;
            self.ramp_until = self.limit * RAMP_LIMIT_RATIO;
        }
        let factor = (LATENCY_TOLERANCE / ratio).max(MIN_DECREASE_FACTOR);
        self.set_limit(self.limit * factor);
        // The service itself may have slowed down: the reference is measured again
        // before the limit falls much further.
        let max_windows = WINDOWS_TO_PROBE_AFTER_DECREASE;
        self.windows_to_probe = self.windows_to_probe.min(max_windows);
    }

    fn increase(&mut self) {
        self.decreasing = false;
        if self.limit < self.ramp_until {
            self.set_limit(self.limit * RAMP_FACTOR);
        } else {
            self.set_limit(self.limit + (self.limit.sqrt() / 4.0).max(1.0));
        }
    }

    fn set_limit(&mut self, limit: f64) {
        self.limit = limit.clamp(1.0, self.max_limit);
    }

    fn enter_phase(&mut self, phase: Phase) {
        self.phase = phase;
        self.warm_up_from = None;
        self.is_warm = false;
    }
}

impl Limiter for Adaptive {
    fn new(slots: u32, connections: u32) -> Self {
        let max_limit = f64::from(connections.max(1));
        Self {
            limit: (f64::from(slots) / 4.0).clamp(1.0, max_limit),
            ramp_until: RAMP_LIMIT_RATIO * f64::from(slots),
            decreasing: false,
            max_limit,
            phase: Phase::Normal,
            warm_up_from: None,
            is_warm: false,
            window: Window::default(),
            recent_latency_seconds: 0.0,
            short_latency_seconds: 0.0,
            reference_latency_seconds: None,
            windows_to_probe: PROBE_INTERVAL_WINDOWS,
        }
    }

    fn current(&self) -> u32 {
        let ratio = match self.phase {
            Phase::Normal => 1.0,
            Phase::Probe => PROBE_LIMIT_RATIO,
        };
        convert::floor_u32(self.limit * ratio).max(1)
    }

    fn completed(&mut self, sample: sample::Sample, in_flight: u32, now: Instant) {
        self.update_recent(sample);
        if !self.update_warm_up(in_flight, now) {
            return;
        }
        self.add_sample(sample, in_flight, now);
        if self.window.is_full(self.current(), now) {
            self.close_window();
        }
    }

    fn resize(&mut self, slots: u32, connections: u32) {
        self.ramp_until = self.ramp_until.min(RAMP_LIMIT_RATIO * f64::from(slots));
        self.max_limit = f64::from(connections.max(1));
        self.set_limit(self.limit);
    }
}
