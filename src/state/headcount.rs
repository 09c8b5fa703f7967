//! How many entry hosts share the fleet's limits, remembered for a while.

use {
    crate::clock::Millis,
    std::{collections::VecDeque, time::Duration},
};

/// Time for which hosts that are gone still count: what they sent again counts that long.
pub const MEMORY_TIME: Duration = Duration::from_secs(10);

/// Hosts that share the limits while their number is not known.
const UNKNOWN_HOSTS: usize = 16;

/// Numbers of hosts seen lately, each with the last time at which it held.
#[derive(Debug, Default)]
pub struct Headcount {
    seen: VecDeque<(Millis, usize)>,
}

impl Headcount {
    /// Notes how many hosts there are now; returns the most within [`MEMORY_TIME`].
    pub fn note(&mut self, present: usize, now: Millis) -> usize {
        // The last number held until now, however long ago it was noted.
        if let Some((at, _)) = self.seen.back_mut() {
            *at = now;
        }
        self.seen.push_back((now, present));
        self.seen.retain(|(at, _)| now.since(*at) <= MEMORY_TIME);
        let most = self.seen.iter().map(|(_, count)| *count).max();
        most.filter(|most| *most > 0).unwrap_or(UNKNOWN_HOSTS)
    }
}
