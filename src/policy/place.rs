//! Which leaf of a service gets a request.
//!
//! Load it answers: leaves that stall for a moment or turn many times slower for
//! seconds, or turn away a part of their requests, while their replicas are idle. A leaf is drawn by the inverse of the time
//! that it is likely to take, so that many hosts with the same view do not all pick
//! the same leaf.

use crate::protocol::dialect::Load;

/// Power to which the inverse of a leaf's cost is drawn: 4 gives a leaf twice as slow a
/// sixteenth of the other's share.
const SHARPNESS: i32 = 4;

/// Slowness from which it counts twice: leaves of one service differ by less, and what a
/// leaf elsewhere costs is nothing beside a reply that comes too late.
const TELLING_SLOWNESS: f64 = 1.5;

/// Cost factor of a leaf in another failure domain, for the bytes and the way there.
const FAR: f64 = 3.0;

/// Cost factor of a leaf without a connection at rest: a new one takes some
/// milliseconds of a slot there.
const UNCONNECTED: f64 = 1.4;

/// Cost factor of a leaf that said a moment ago that it takes no more.
const FULL: f64 = 8.0;

/// Cost of a leaf that turns away all of its requests, beside that of one that turns away
/// none: each costs a way there and one of the requests that may be sent again.
const REFUSING: f64 = 12.0;

/// What is known of a leaf that could be asked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Time of its replies as a multiple of what is usual.
    pub slowness: f64,
    /// Age of its oldest unanswered request as a multiple of what is usual.
    pub overdue: f64,
    /// Requests of this host that it has not answered.
    pub in_flight: u32,
    /// Its own last word on its load, if recent.
    pub load: Option<Load>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it stands in this host's failure domain.
    pub is_near: bool,
    /// Whether a connection to it is at rest.
    pub is_connected: bool,
    /// Whether it refused a request as full a moment ago.
    pub is_full: bool,
    /// Part of its requests that it turns away.
    pub refusals: f64,
}

impl Candidate {
    /// Returns the time that a request is likely to take there, as a multiple of what is
    /// usual.
    #[must_use]
    pub fn cost(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let known = self
            .load
            .map_or(0, |load| load.waiting + load.running.saturating_sub(1));
        let queue = f64::from(known.max(self.in_flight)) / slots;
        let way = if self.is_near { 1.0 } else { FAR };
        let opening = if self.is_connected { 1.0 } else { UNCONNECTED };
        let full = if self.is_full { FULL } else { 1.0 };
        let slowness = self.slowness.max(self.overdue).max(0.1);
        let doubt = (slowness / TELLING_SLOWNESS).max(1.0);
        let refusing = 1.0 + self.refusals * REFUSING;
        slowness * doubt * (1.0 + queue) * way * opening * full * refusing
    }
}

/// Picks one of `candidates` by `draw`, a number from 0 up to 1.
#[must_use]
pub fn choose(candidates: &[Candidate], draw: f64) -> Option<usize> {
    let weight = |candidate: &Candidate| candidate.cost().powi(-SHARPNESS);
    let total: f64 = candidates.iter().map(weight).sum();
    let mut left = draw * total;
    for (place, candidate) in candidates.iter().enumerate() {
        left -= weight(candidate);
        if left < 0.0 {
            return Some(place);
        }
    }
    candidates.len().checked_sub(1)
}
