//! Count of the entry hosts that share the fleet's limits: the largest of the recent past.
//!
//! Hosts are counted by their entries in the registry. A registry that answers some hosts and
//! not others may end the leases of hosts that go on serving. The others still count such a host
//! for [`HOST_COUNT_TTL`]; the host itself gives up its share of the limits before that
//! ([`OwnCount`]).

use {
    crate::clock::Millis,
    std::{collections::VecDeque, time::Duration},
};

/// Time for which a host still counts after its entry is gone.
pub const HOST_COUNT_TTL: Duration = Duration::from_mins(1);

/// Host count that is used while the real one is unknown.
const DEFAULT_HOST_COUNT: usize = 16;

/// Recent host counts, each with the last time at which it was current.
#[derive(Debug)]
pub struct HostCount {
    ttl: Duration,
    samples: VecDeque<(Millis, usize)>,
}

/// Whether the other hosts count this one.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnCount {
    /// When this process last registered or renewed its lease.
    renewed_at: Option<Millis>,
}

impl Default for HostCount {
    fn default() -> Self {
        Self::new(HOST_COUNT_TTL)
    }
}

impl HostCount {
    /// Returns an empty count that remembers each number of hosts for `ttl`.
    #[must_use]
    pub fn new(ttl: Duration) -> Self {
        Self {
            ttl,
            samples: VecDeque::new(),
        }
    }

    /// Records the present host count; returns the largest of the time that is remembered.
    pub fn record_count(&mut self, present: usize, now: Millis) -> usize {
        // The previous count was current until now, however long ago it was recorded.
        if let Some((at, _)) = self.samples.back_mut() {
            *at = now;
        }
        self.samples.push_back((now, present));
        self.samples.retain(|(at, _)| now.since(*at) <= self.ttl);
        let max_count = self.samples.iter().map(|(_, count)| *count).max();
        max_count
            .filter(|count| *count > 0)
            .unwrap_or(DEFAULT_HOST_COUNT)
    }
}

impl OwnCount {
    /// Records that the registry granted or renewed this host's lease at `now`.
    pub fn record_renewal(&mut self, now: Millis) {
        self.renewed_at = Some(now);
    }

    /// Returns whether all other hosts count this one: it is registered, and its lease was
    /// renewed less than [`HOST_COUNT_TTL`] ago.
    #[must_use]
    pub fn is_counted(&self, now: Millis) -> bool {
        let renewed_at = self.renewed_at;
        renewed_at.is_some_and(|renewed_at| now.since(renewed_at) < HOST_COUNT_TTL)
    }
}
