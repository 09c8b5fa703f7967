//! What replies show about how much a leaf takes well.

use {
    super::{LeafHandle, LeafStats, lock},
    crate::{
        policy::leaf_selection::Capacity,
        state::leaf_capacity::{CapacityChange, LeafCapacity, Sample},
    },
    std::time::{Duration, Instant},
};

/// Whether this host learns how much the leaves take well.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CapacityLearning {
    /// Of leaves that state their pace of work.
    #[default]
    StatedPace,
    /// Of all leaves.
    All,
}

/// What was learned of a leaf, for metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedCapacity {
    /// Requests that it takes well at a time, as a share of its slots.
    pub share: f64,
    /// Expected time of a request there now, as a multiple of the baseline.
    pub expected: f64,
}

impl LeafStats {
    /// Records a reply of the leaf. Returns its latency relative to the baseline, without what
    /// the stated pace and the other requests explain; `None` when nothing is learned of it.
    pub(super) fn record_capacity(
        &mut self,
        slots: u32,
        sample: Sample,
        now: Instant,
    ) -> Option<f64> {
        if self.learning == CapacityLearning::StatedPace && sample.pace.is_none() {
            self.capacity = None;
            return None;
        }
        let capacity = self
            .capacity
            .get_or_insert_with(|| Box::new(LeafCapacity::new(slots)));
        Some(capacity.record_reply(sample, now))
    }

    /// Returns what was learned of the leaf; `None` when nothing is.
    pub(super) fn learned(&self, now: Instant) -> Option<Capacity> {
        let capacity = self.capacity.as_deref()?;
        Some(Capacity {
            time: capacity.expected_time(self.latency.current(now), now),
            concurrency: capacity.concurrency(now),
        })
    }
}

impl LeafHandle {
    /// Returns how long a request with the baseline latency `baseline` is expected to take at
    /// the leaf now; `None` when nothing was learned of it.
    #[must_use]
    pub fn expected_time(&self, baseline: Duration, now: Instant) -> Option<Duration> {
        let candidate = self.candidate(&self.leaf.domain, now);
        candidate.capacity?;
        Some(baseline.mul_f64(candidate.expected()))
    }

    /// Returns how many more requests the leaf takes well now, none if negative; `None` when
    /// nothing was learned of it.
    #[must_use]
    pub fn room(&self, now: Instant) -> Option<f64> {
        let candidate = self.candidate(&self.leaf.domain, now);
        let capacity = candidate.capacity?;
        Some(capacity.concurrency - f64::from(candidate.requests()))
    }

    /// Returns what was learned of the leaf, for metrics.
    #[must_use]
    pub fn learned_capacity(&self, now: Instant) -> Option<LearnedCapacity> {
        let candidate = self.candidate(&self.leaf.domain, now);
        let capacity = candidate.capacity?;
        Some(LearnedCapacity {
            share: capacity.concurrency / f64::from(self.leaf.slots.max(1)),
            expected: candidate.expected(),
        })
    }

    /// Returns a large change of the leaf's capacity since the last one that was returned.
    #[must_use]
    pub fn take_capacity_change(&self, now: Instant) -> Option<CapacityChange> {
        lock(&self.stats).capacity.as_mut()?.take_change(now)
    }
}
