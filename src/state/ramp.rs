//! Concurrency limit of one leaf, which rises while the leaf warms up.
//!
//! A leaf that is new, has restarted, or is slow for no known reason counts as cold and
//! gets only the concurrent requests that the declaration allows a cold leaf. Replies of
//! one incarnation raise the limit step by step.

use {
    crate::{collections::Name, declaration::Service},
    std::time::Duration,
};

/// Factor over the leaf's mean latency beyond which a reply is slow.
const SLOW_FACTOR: u32 = 2;

/// Latency up to which no reply is slow: scheduling delays alone can take that long.
const MIN_SLOW_LATENCY: Duration = Duration::from_millis(4);

/// Slow replies in a row that make a leaf cold. A single one already limits it to what a
/// cold leaf gets, until a reply that is not slow.
const MAX_SLOW_STREAK: u32 = 3;

/// Concurrency limit of a leaf, with the replies that it is derived from.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ramp {
    incarnation: Option<Name>,
    limit: u32,
    /// Replies that were not slow since the limit last rose.
    replies: u32,
    /// Slow replies in a row.
    slow_streak: u32,
    mean_latency: Duration,
    /// True while no reply has confirmed the previous owner's values: the target may have
    /// restarted since.
    is_inherited: bool,
}

impl Ramp {
    /// Returns the number of requests that the leaf may run at once.
    #[must_use]
    pub fn limit(&self, service: &Service) -> u32 {
        if self.slow_streak > 0 || self.is_inherited {
            return service.cold.bears;
        }
        self.limit.max(service.cold.bears).min(service.limits.slots)
    }

    /// Returns whether the limit is below the leaf's number of slots.
    #[must_use]
    pub fn is_ramping(&self, service: &Service) -> bool {
        self.limit(service) < service.limits.slots
    }

    /// Returns the incarnation that the leaf reported last.
    #[must_use]
    pub fn incarnation(&self) -> Option<&Name> {
        self.incarnation.as_ref()
    }

    /// Takes over the values of the previous owner, unless an incarnation is already known.
    pub fn inherit(&mut self, incarnation: Name, limit: u32) {
        if self.incarnation.is_none() {
            self.incarnation = Some(incarnation);
            self.limit = limit;
            self.is_inherited = true;
        }
    }

    /// Makes the leaf cold.
    pub fn reset(&mut self) {
        *self = Self {
            // Kept so that the same incarnation is not taken for a new one.
            incarnation: self.incarnation.take(),
            ..Self::default()
        };
    }

    /// Records the incarnation that a reply or status names; true if it changed, which
    /// makes the leaf cold.
    pub fn record_incarnation(&mut self, incarnation: &Name) -> bool {
        if self.incarnation.as_ref() == Some(incarnation) {
            return false;
        }
        *self = Self {
            incarnation: Some(incarnation.clone()),
            ..Self::default()
        };
        true
    }

    /// Records a complete reply that took `took` at the target.
    pub fn record_reply(&mut self, service: &Service, incarnation: &Name, took: Duration) {
        self.record_incarnation(incarnation);
        self.is_inherited = false;
        if self.is_slow(took) {
            self.record_slow_reply();
            return;
        }
        self.slow_streak = 0;
        self.mean_latency = if self.mean_latency.is_zero() {
            took
        } else {
            (self.mean_latency * 7 + took) / 8
        };
        self.replies += 1;
        if self.replies >= service.cold.warm_after && self.is_ramping(service) {
            self.limit = self.limit(service) + 1;
            self.replies = 0;
        }
    }

    /// Records a request that was cancelled after `ran` without a reply.
    pub fn record_cancelled(&mut self, ran: Duration) {
        if self.is_slow(ran) {
            self.record_slow_reply();
        }
    }

    fn record_slow_reply(&mut self) {
        self.slow_streak += 1;
        if self.slow_streak >= MAX_SLOW_STREAK {
            self.reset();
        }
    }

    fn is_slow(&self, took: Duration) -> bool {
        !self.mean_latency.is_zero()
            && took > MIN_SLOW_LATENCY
            && took > self.mean_latency * SLOW_FACTOR
    }
}
