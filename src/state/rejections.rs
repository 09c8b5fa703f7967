//! Estimate of the ratio of its requests that a leaf rejects.
//!
//! A full leaf rejects requests for a short time, and so do its replicas. A leaf that
//! rejects some requests at random while it reports free slots does so for seconds, and
//! each attempt that it rejects uses up retry budget.

use std::time::{Duration, Instant};

/// Weight of one request in the estimate.
const SAMPLE_WEIGHT: f64 = 0.25;

/// Half-life of the estimate. It decays so that the leaf is tried again.
const HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Rejection ratio of one leaf, as a decaying average.
#[derive(Clone, Copy, Debug, Default)]
pub struct RejectionRate {
    ratio: f64,
    recorded_at: Option<Instant>,
}

impl RejectionRate {
    /// Records whether the leaf rejected a request.
    pub fn record_outcome(&mut self, is_rejected: bool, now: Instant) {
        let current = self.ratio(now);
        let sample = if is_rejected { 1.0 } else { 0.0 };
        self.ratio = current + (sample - current) * SAMPLE_WEIGHT;
        self.recorded_at = Some(now);
    }

    /// Returns the ratio of its requests that the leaf rejects, 0 to 1.
    #[must_use]
    pub fn ratio(&self, now: Instant) -> f64 {
        let Some(recorded_at) = self.recorded_at else {
            return 0.0;
        };
        let elapsed = now.saturating_duration_since(recorded_at);
        self.ratio * 0.5_f64.powf(elapsed.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}
