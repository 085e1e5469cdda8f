//! A concurrency limit that follows the latency of the target.

use std::time::{Duration, Instant};

use crate::convert;
use crate::limit::window::Window;
use crate::limit::{Limiter, sample};

/// Part of the limit in force while the reference latency is measured.
const PROBE_PART: f64 = 0.7;
/// Ratio of short to reference latency taken for queueing. It lies below
/// `1 / PROBE_PART`, so that a limit above the slots always falls: there the
/// latency grows in proportion to the limit.
const TOLERANCE: f64 = 1.25;
/// Strongest decrease at one window.
const MAX_DECREASE: f64 = 0.7;
/// Growth per window while the limit is far below the last one that queued.
const RAMP: f64 = 1.5;
/// Part of the limit that queued up to which the limit ramps.
const RAMP_PART: f64 = 0.5;
/// Windows after a decrease before the reference is measured again. One probe
/// per decrease costs capacity for each window that is slow by chance.
const WINDOWS_TO_PROBE_AFTER_DECREASE: u32 = 3;
/// Windows in use between two measurements of the reference.
const PROBE_INTERVAL_WINDOWS: u32 = 20;
/// Weight of a window that is faster than the reference by the tolerance.
const GAIN_FASTER: f64 = 0.5;
/// Weight of a window while the limit is not in use, so that no requests queue.
const GAIN_IDLE: f64 = 0.1;
/// Part of the limit from which on it counts as in use.
const USED_PART: f64 = 0.9;

/// Mean latencies to wait after a change of phase before samples count. The
/// first requests to end are the short ones; counting them measures too low a
/// latency and, under noise, halves the limit.
const WARM_UP: f64 = 3.0;
/// Weight of one request in the mean latency by which the warm-up is timed. That
/// of the last window would keep the warm-up of a slow service going for seconds
/// after the service has become fast again.
const RECENT_GAIN: f64 = 1.0 / 8.0;

/// What the limiter measures at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The short window, at the whole limit.
    Normal,
    /// The reference, at a part of the limit.
    Probe,
}

/// Compares the latency at the whole limit with that at a part of it. Where
/// both are equal the target has free slots and the limit grows; where latency
/// grows with the limit, requests queue at the target and the limit falls.
///
/// A lasting minimum as the reference was rejected: it collapses the limit when
/// the service slows down for good or when latency is mostly noise.
#[derive(Clone, Debug)]
pub struct Adaptive {
    limit: f64,
    ramp_until: f64,
    falling: bool,
    connections: f64,
    phase: Phase,
    warming_since: Option<Instant>,
    counting: bool,
    window: Window,
    recent_seconds: f64,
    short_seconds: f64,
    reference_seconds: Option<f64>,
    windows_to_probe: u32,
}

impl Adaptive {
    fn add(&mut self, sample: sample::Sample, in_flight: u32, now: Instant) {
        let seconds = sample.observed().as_secs_f64();
        let reference = self.reference_seconds.unwrap_or_default();
        // A fast failure or an early cancellation says nothing about latency.
        if matches!(sample, sample::Sample::AtLeast(_)) && seconds <= reference {
            return;
        }
        let used = f64::from(in_flight) >= USED_PART * f64::from(self.current());
        self.window.add(seconds, used, now);
    }

    /// Whether the latency of a request that ends now is that of the present
    /// phase.
    fn counts(&mut self, in_flight: u32, now: Instant) -> bool {
        if self.warming_since.is_none() && in_flight <= self.current() {
            self.warming_since = Some(now);
        }
        let latency = self.recent_seconds.min(self.short_seconds);
        let warm_up = Duration::from_secs_f64(WARM_UP * latency);
        let warm = |since| now.saturating_duration_since(since) >= warm_up;
        self.counting |= self.warming_since.is_some_and(warm);
        self.counting
    }

    fn follow_recent(&mut self, sample: sample::Sample) {
        let seconds = sample.observed().as_secs_f64();
        self.recent_seconds += RECENT_GAIN * (seconds - self.recent_seconds);
    }

    fn close(&mut self) {
        let window = std::mem::take(&mut self.window);
        match self.phase {
            Phase::Normal => self.close_normal(&window),
            Phase::Probe => {
                self.reference_seconds = Some(window.mean());
                self.windows_to_probe = PROBE_INTERVAL_WINDOWS;
                self.enter(Phase::Normal);
            }
        }
    }

    fn close_normal(&mut self, window: &Window) {
        let short = window.mean();
        self.short_seconds = short;
        let reference = self.follow(short, window.used());
        if !window.used() {
            return;
        }
        self.windows_to_probe = self.windows_to_probe.saturating_sub(1);
        let ratio = short / reference.max(f64::MIN_POSITIVE);
        if ratio > TOLERANCE {
            self.decrease(ratio);
        } else {
            self.increase();
        }
        let lower = convert::floor_u32(self.limit * PROBE_PART).max(1);
        if self.windows_to_probe == 0 && lower < self.current() {
            self.enter(Phase::Probe);
        }
    }

    /// Moves the reference towards a window where that is safe without a probe.
    /// Small gains of a busy window are left to the next probe: following them
    /// picks out the fast half of the noise and halves the limit.
    fn follow(&mut self, short: f64, used: bool) -> f64 {
        let reference = self.reference_seconds.unwrap_or(short);
        let gain = if short * TOLERANCE < reference {
            GAIN_FASTER
        } else if used {
            0.0
        } else {
            GAIN_IDLE
        };
        let moved = reference + gain * (short - reference);
        self.reference_seconds = Some(moved);
        moved
    }

    fn decrease(&mut self, ratio: f64) {
        if !self.falling {
            self.falling = true;
            self.ramp_until = self.limit * RAMP_PART;
        }
        let part = (TOLERANCE / ratio).max(MAX_DECREASE);
        self.set(self.limit * part);
        // The service itself may have slowed down: measure the reference again
        // before the limit falls much further.
        let soon = WINDOWS_TO_PROBE_AFTER_DECREASE;
        self.windows_to_probe = self.windows_to_probe.min(soon);
    }

    fn increase(&mut self) {
        self.falling = false;
        if self.limit < self.ramp_until {
            self.set(self.limit * RAMP);
        } else {
            self.set(self.limit + (self.limit.sqrt() / 4.0).max(1.0));
        }
    }

    fn set(&mut self, limit: f64) {
        self.limit = limit.clamp(1.0, self.connections);
    }

    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        self.warming_since = None;
        self.counting = false;
    }
}

impl Limiter for Adaptive {
    fn new(slots: u32, connections: u32) -> Self {
        let connections = f64::from(connections.max(1));
        Self {
            limit: (f64::from(slots) / 4.0).clamp(1.0, connections),
            ramp_until: RAMP_PART * f64::from(slots),
            falling: false,
            connections,
            phase: Phase::Normal,
            warming_since: None,
            counting: false,
            window: Window::default(),
            recent_seconds: 0.0,
            short_seconds: 0.0,
            reference_seconds: None,
            windows_to_probe: PROBE_INTERVAL_WINDOWS,
        }
    }

    fn current(&self) -> u32 {
        let part = match self.phase {
            Phase::Normal => 1.0,
            Phase::Probe => PROBE_PART,
        };
        convert::floor_u32(self.limit * part).max(1)
    }

    fn completed(&mut self, sample: sample::Sample, in_flight: u32, now: Instant) {
        self.follow_recent(sample);
        if !self.counts(in_flight, now) {
            return;
        }
        self.add(sample, in_flight, now);
        if self.window.is_full(self.current(), now) {
            self.close();
        }
    }

    fn resize(&mut self, slots: u32, connections: u32) {
        self.ramp_until = self.ramp_until.min(RAMP_PART * f64::from(slots));
        self.connections = f64::from(connections.max(1));
        self.set(self.limit);
    }
}
