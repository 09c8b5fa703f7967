//! Which requests a stopping host still takes.
//!
//! Handles a planned stop: callers go on using their open connections until the process has
//! ended. A request that can't end before the host gives its last responses is rejected at
//! once, while it has certainly not run, so that its caller can send it to another host.

use {
    crate::state::routes::Repeats,
    std::time::{Duration, Instant},
};

/// Share of the stop time in which new connections are still accepted: the load balancer
/// needs two failed readiness checks, a second apart, to send callers elsewhere.
const ACCEPTING_RATIO: f64 = 0.6;

/// Share of the stop time after which each request that is still in flight gets a response.
/// The time until [`END_RATIO`] is for sending these responses.
const RESPONSE_RATIO: f64 = 0.93;

/// Share of the stop time after which the host ends.
const END_RATIO: f64 = 0.95;

/// Share of the stop time that must be left for a request that may run only once and whose
/// deadline is later than the last responses: its caller can't repeat it after a cut.
const ONCE_RATIO: f64 = 0.5;

/// Multiple of the baseline latency of its route that a request is expected to take.
const LATENCY_FACTOR: u32 = 4;

/// The times of one planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopSchedule {
    /// Time of the stop signal.
    pub start: Instant,
    /// Time at which the host stops accepting connections and closes the idle ones.
    pub accept_until: Instant,
    /// Time at which all requests in flight get a response.
    pub respond_by: Instant,
    /// Time at which the host ends.
    pub end: Instant,
    /// Time left from which a request that may run only once needs a deadline before
    /// `respond_by`.
    once_time: Duration,
}

/// A request that a stopping host has read.
#[derive(Clone, Copy, Debug)]
pub struct LateRequest {
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Whether it may run more than once.
    pub repeats: Repeats,
    /// Baseline latency of its route; `None` before the first reply.
    pub baseline: Option<Duration>,
}

impl StopSchedule {
    /// Returns the times of a stop that begins now and may take `stop_timeout`.
    #[must_use]
    pub fn new(now: Instant, stop_timeout: Duration) -> Self {
        Self {
            start: now,
            accept_until: now + stop_timeout.mul_f64(ACCEPTING_RATIO),
            respond_by: now + stop_timeout.mul_f64(RESPONSE_RATIO),
            end: now + stop_timeout.mul_f64(END_RATIO),
            once_time: stop_timeout.mul_f64(ONCE_RATIO),
        }
    }

    /// Returns whether the host may send `request` to a leaf now.
    #[must_use]
    pub fn admits(&self, request: &LateRequest, now: Instant) -> bool {
        if now >= self.respond_by {
            return false;
        }
        if request.deadline <= self.respond_by {
            return true;
        }
        let left = self.respond_by - now;
        let expected = request.baseline.unwrap_or_default() * LATENCY_FACTOR;
        let is_early = match request.repeats {
            Repeats::Safe => true,
            Repeats::Never => left >= self.once_time,
        };
        is_early && expected <= left
    }
}
