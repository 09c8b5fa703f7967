//! How large a part of its requests a leaf turns away.
//!
//! A leaf that is full turns requests away for a moment, and its replicas do so as well. One
//! that turns away a part of them at random, with room by its own word, does so for seconds,
//! and each request that it gets costs one of those that may be sent again.

use std::time::{Duration, Instant};

/// Weight of a request in the estimate.
const WEIGHT: f64 = 0.25;

/// Time in which half of the estimate is forgotten, so that the leaf is tried again.
const FORGET_TIME: Duration = Duration::from_millis(1_500);

/// Running estimate for one leaf.
#[derive(Clone, Copy, Debug, Default)]
pub struct Refusals {
    part: f64,
    noted: Option<Instant>,
}

impl Refusals {
    /// Notes how a request ended.
    pub fn note(&mut self, is_refused: bool, now: Instant) {
        let present = self.part(now);
        let sample = if is_refused { 1.0 } else { 0.0 };
        self.part = present + (sample - present) * WEIGHT;
        self.noted = Some(now);
    }

    /// Returns the part of its requests that the leaf turns away, 0 to 1.
    #[must_use]
    pub fn part(&self, now: Instant) -> f64 {
        let Some(noted) = self.noted else {
            return 0.0;
        };
        let passed = now.saturating_duration_since(noted);
        self.part * 0.5_f64.powf(passed.as_secs_f64() / FORGET_TIME.as_secs_f64())
    }
}
