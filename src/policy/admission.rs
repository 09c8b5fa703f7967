//! Whether a request to many shards is admitted, from recent rejections by their leaves.
//!
//! Handles more requests than the leaves of the shards can run, in a burst or while a
//! domain is out. Each request needs nearly every shard: if each leaf rejects some requests
//! at random, almost no response is complete, and the work of the other leaves is wasted.
//! Each host lowers its limit until leaves reject few requests, and rejects the rest, the
//! less urgent first, at once and before any leaf has worked on them.

use std::time::{Duration, Instant};

/// Initial and largest limit on the requests in flight.
const MAX_LIMIT: f64 = 128.0;

/// Smallest limit, so that a host still detects when the leaves have room again.
const MIN_LIMIT: f64 = 2.0;

/// Factor by which the limit falls on overload.
const DECREASE_FACTOR: f64 = 0.7;

/// Minimum time between two decreases, as a multiple of the route's latency objective:
/// requests admitted before the last decrease must have ended.
const DECREASE_INTERVAL_FACTOR: f64 = 1.0;

/// Increase of the limit per request without overload, while the limit is in use.
const INCREASE_STEP: f64 = 0.15;

/// Ratio of rejections to shards above which a request indicates overload.
const OVERLOAD_RATIO: f64 = 0.1;

/// Fraction of the limit that each step of lower priority takes off.
const PRIORITY_STEP_RATIO: f64 = 0.12;

/// Limit on a host's requests in flight to one set of shards.
#[derive(Debug)]
pub struct Admission {
    limit: f64,
    in_flight: u32,
    decreased_at: Option<Instant>,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            limit: MAX_LIMIT,
            in_flight: 0,
            decreased_at: None,
        }
    }
}

impl Admission {
    /// Admits a request with priority `priority`, 0 being the most urgent, or returns
    /// false. The caller ends each admitted request with [`Admission::record_end`] or
    /// [`Admission::release`].
    pub fn try_admit(&mut self, priority: u32) -> bool {
        let share = (1.0 - PRIORITY_STEP_RATIO * f64::from(priority)).max(PRIORITY_STEP_RATIO);
        let is_admitted = f64::from(self.in_flight) < (self.limit * share).max(1.0);
        if is_admitted {
            self.in_flight += 1;
        }
        is_admitted
    }

    /// Records the end of a request to `shards` shards whose leaves rejected `rejected`
    /// attempts. `objective` is the latency objective of its route.
    pub fn record_end(
        &mut self,
        rejected: usize,
        shards: usize,
        objective: Duration,
        now: Instant,
    ) {
        #[expect(clippy::cast_precision_loss, reason = "numbers of shards are small")]
        let rejected_ratio = rejected as f64 / shards.max(1) as f64;
        let was_in_use = f64::from(self.in_flight) * 2.0 >= self.limit;
        self.in_flight = self.in_flight.saturating_sub(1);
        if rejected_ratio > OVERLOAD_RATIO {
            let is_due = self.decreased_at.is_none_or(|at| {
                now.saturating_duration_since(at) >= objective.mul_f64(DECREASE_INTERVAL_FACTOR)
            });
            if is_due {
                // The limit may be far above the number of requests in flight.
                let effective_limit = self.limit.min(f64::from(self.in_flight + 1));
                self.limit = (effective_limit * DECREASE_FACTOR).max(MIN_LIMIT);
                self.decreased_at = Some(now);
            }
        } else if was_in_use {
            self.limit = (self.limit + INCREASE_STEP).min(MAX_LIMIT);
        }
    }

    /// Records the end of a request of unknown outcome; the limit stays.
    pub fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns the number of requests that may be in flight.
    #[must_use]
    pub fn limit(&self) -> f64 {
        self.limit
    }
}
