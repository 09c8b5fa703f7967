//! Ends of leaves that this host has seen and can't prove by a connection.
//!
//! A leaf that broke a connection and accepts no new one has ended, or this host is cut off from
//! it. Another leaf that accepts a connection rules the second out. While none does, only the
//! registry can: the leaves that a host is cut off from keep their entries, since they renew them.
//! So an end is proven once the registry shows that the leaf has ended, and so has every other
//! leaf that was asked for a connection then.

use {
    super::{roster::LeafStart, suspects::Crash},
    crate::{collections::Map, protocol::fingerprint::Fingerprint},
    std::time::{Duration, Instant},
};

/// Time within which the registry drops a leaf that has ended: three missed heartbeats, and some
/// more. A leaf that is dropped later ended later, of something else.
const EXPIRY_TIME: Duration = Duration::from_secs(6);

/// Requests that are remembered at most, for all ends.
const MAX_CRASHES: usize = 1_024;

/// Ends of leaves that are not proven yet.
#[derive(Debug, Default)]
pub struct UnprovenEnds {
    ends: Map<LeafStart, UnprovenEnd>,
}

#[derive(Debug)]
struct UnprovenEnd {
    seen_at: Instant,
    /// Requests under which the leaf seems to have ended.
    crashes: Vec<Crash>,
    /// Other leaves that accepted no connection either; `None` until some were asked.
    witnesses: Option<Vec<LeafStart>>,
}

impl UnprovenEnd {
    fn is_recent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.seen_at) < EXPIRY_TIME
    }
}

impl UnprovenEnds {
    /// Returns whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Adds a request that the leaf had when it broke the connection.
    pub fn add(&mut self, leaf: LeafStart, crash: Crash, now: Instant) {
        self.ends.retain(|_, end| end.is_recent(now));
        while self.crash_count() >= MAX_CRASHES && self.drop_oldest() {}
        let end = self.ends.entry(leaf).or_insert_with(|| UnprovenEnd {
            seen_at: now,
            crashes: Vec::new(),
            witnesses: None,
        });
        if !end.crashes.iter().any(|known| known.id == crash.id) {
            end.crashes.push(crash);
        }
    }

    /// Records that none of `witnesses` accepted a connection when the leaf didn't.
    pub fn record_witnesses(&mut self, leaf: &LeafStart, witnesses: Vec<LeafStart>) {
        if let Some(end) = self.ends.get_mut(leaf) {
            end.witnesses = Some(witnesses);
        }
    }

    /// Removes the requests of a leaf of which it is known whether it has ended, and returns them.
    pub fn take(&mut self, leaf: &LeafStart) -> Vec<Crash> {
        self.ends
            .remove(leaf)
            .map(|end| end.crashes)
            .unwrap_or_default()
    }

    /// Removes the ends that the registry proves, by what it shows of starts of leaves, and
    /// returns their requests.
    pub fn take_proven(
        &mut self,
        has_ended: impl Fn(&LeafStart) -> bool,
        now: Instant,
    ) -> Vec<Crash> {
        self.ends.retain(|_, end| end.is_recent(now));
        let proven = self.ends.extract_if(|leaf, end| {
            let witnesses = end.witnesses.as_deref();
            has_ended(leaf) && witnesses.is_some_and(|all| all.iter().all(&has_ended))
        });
        proven.flat_map(|(_, end)| end.crashes).collect()
    }

    /// Forgets the request, since a leaf has replied to it.
    pub fn clear(&mut self, fingerprint: Fingerprint) {
        self.ends.retain(|_, end| {
            end.crashes
                .retain(|crash| crash.id.fingerprint != fingerprint);
            !end.crashes.is_empty()
        });
    }

    fn crash_count(&self) -> usize {
        self.ends.values().map(|end| end.crashes.len()).sum()
    }

    fn drop_oldest(&mut self) -> bool {
        let oldest = self.ends.iter().min_by_key(|(_, end)| end.seen_at);
        let oldest = oldest.map(|(leaf, _)| leaf.clone());
        oldest.is_some_and(|leaf| self.ends.remove(&leaf).is_some())
    }
}
