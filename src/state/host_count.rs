//! Count of the entry hosts that share the fleet's limits: the largest of the recent past.

use {
    crate::clock::Millis,
    std::{collections::VecDeque, time::Duration},
};

/// Time for which hosts that have gone still count: their retries count against the fleet
/// retry budget for that long.
pub const HOST_COUNT_TTL: Duration = Duration::from_secs(10);

/// Host count that is used while the real one is unknown.
const DEFAULT_HOST_COUNT: usize = 16;

/// Recent host counts, each with the last time at which it was current.
#[derive(Debug, Default)]
pub struct HostCount {
    samples: VecDeque<(Millis, usize)>,
}

impl HostCount {
    /// Records the present host count; returns the largest within [`HOST_COUNT_TTL`].
    pub fn record_count(&mut self, present: usize, now: Millis) -> usize {
        // The previous count was current until now, however long ago it was recorded.
        if let Some((at, _)) = self.samples.back_mut() {
            *at = now;
        }
        self.samples.push_back((now, present));
        self.samples
            .retain(|(at, _)| now.since(*at) <= HOST_COUNT_TTL);
        let max_count = self.samples.iter().map(|(_, count)| *count).max();
        max_count
            .filter(|count| *count > 0)
            .unwrap_or(DEFAULT_HOST_COUNT)
    }
}
