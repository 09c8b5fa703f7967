//! Whether this host reaches leaves.
//!
//! A host can be cut off from all leaves while callers, the registry and other hosts still reach
//! it. A leaf that is dead or slow, or a service that is down everywhere, must not look like
//! that: so a host that hears nothing from any leaf asks some of them for a connection, whichever
//! services they belong to.

use std::time::{Duration, Instant};

/// Time without a sign of any leaf, while attempts wait for one, after which leaves are asked.
const SILENCE_TIME: Duration = Duration::from_millis(400);

/// Whether this host reaches leaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reach {
    /// It reaches some.
    #[default]
    Reached,
    /// It reaches none.
    CutOff,
}

/// What this host has heard from leaves.
#[derive(Debug, Default)]
pub struct LeafContact {
    reach: Reach,
    /// Attempts in flight.
    in_flight: usize,
    /// Since when a sign of a leaf is awaited: the last sign, or the first attempt after all
    /// earlier ones had got a reply. `None` while no attempt awaits one.
    waiting_since: Option<Instant>,
}

impl LeafContact {
    /// Returns whether this host reaches leaves.
    #[must_use]
    pub fn reach(&self) -> Reach {
        self.reach
    }

    /// Records that an attempt at a leaf starts.
    pub fn record_start(&mut self, now: Instant) {
        self.waiting_since.get_or_insert(now);
        self.in_flight += 1;
    }

    /// Records that an attempt has ended. One without a reply leaves it open whether leaves are
    /// reached.
    pub fn record_end(&mut self, has_reply: bool) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if has_reply && self.in_flight == 0 {
            self.waiting_since = None;
        }
    }

    /// Records a sign of a leaf: a reply, or a connection that it accepted. Returns whether the
    /// host was cut off until now.
    pub fn record_sign(&mut self, now: Instant) -> bool {
        self.waiting_since = (self.in_flight > 0).then_some(now);
        std::mem::take(&mut self.reach) == Reach::CutOff
    }

    /// Returns whether leaves should be asked for a connection.
    #[must_use]
    pub fn is_check_due(&self, now: Instant) -> bool {
        let is_silent = |since| now.saturating_duration_since(since) >= SILENCE_TIME;
        self.reach == Reach::CutOff || self.waiting_since.is_some_and(is_silent)
    }

    /// Records that no leaf that was asked since `asked_at` has accepted a connection. Returns
    /// whether the host is cut off from now on, and was not before.
    pub fn record_no_sign(&mut self, asked_at: Instant) -> bool {
        // A sign may have come meanwhile.
        let is_waiting = self.waiting_since.is_some_and(|since| since <= asked_at);
        is_waiting && std::mem::replace(&mut self.reach, Reach::CutOff) == Reach::Reached
    }
}
