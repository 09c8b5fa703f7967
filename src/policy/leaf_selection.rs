//! Which leaf of a service gets a request.
//!
//! Handles leaves that stall for a moment, run many times slower for seconds, or reject a
//! part of their requests, while their replicas are idle. A leaf is drawn at random,
//! weighted by the inverse of its expected time, so that many hosts with the same view do
//! not all choose the same leaf. Where it is learned how much each leaf takes well, the
//! expected time follows from that, and otherwise from its last replies and its slots.

use crate::protocol::dialect::Load;

/// Exponent of a leaf's inverse cost in its weight: with 4, a leaf that is twice as slow
/// gets a sixteenth of the other's share.
const COST_EXPONENT: i32 = 4;

/// Exponent in each of two draws of which the cheaper leaf is taken: together they prefer
/// cheap leaves about as much.
const DRAW_EXPONENT: i32 = 2;

/// Relative latency above which the cost grows with its square: leaves of one service
/// differ by less, and a leaf in another domain costs little compared with a reply that
/// comes too late.
const SLOW_THRESHOLD: f64 = 1.5;

/// Cost factor of a leaf in another failure domain, for the traffic and the network
/// latency.
const REMOTE_FACTOR: f64 = 3.0;

/// Cost factor of a leaf without an idle connection: a new connection takes some
/// milliseconds of a slot there.
const CONNECT_FACTOR: f64 = 1.4;

/// Cost factor of a leaf that recently rejected a request as full.
const FULL_FACTOR: f64 = 8.0;

/// Increase of the cost factor of a leaf that rejects all requests over one that rejects
/// none: each rejection costs a round trip and one of the permitted retries.
const REJECTION_WEIGHT: f64 = 12.0;

/// How much a leaf takes well, learned from its replies.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Capacity {
    /// Expected time of a request that is alone there now, as a multiple of the baseline.
    pub time: f64,
    /// Requests that it takes well at a time.
    pub concurrency: f64,
}

/// State of a leaf that could get the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Latency of its replies as a multiple of the baseline.
    pub relative_latency: f64,
    /// Age of its oldest request without a reply as a multiple of the baseline.
    pub overdue: f64,
    /// Requests of this host that it has not replied to.
    pub in_flight: u32,
    /// The load that it reported last, if recent.
    pub load: Option<Load>,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is in this host's failure domain.
    pub is_local: bool,
    /// Whether there is an idle connection to it.
    pub is_connected: bool,
    /// Whether it recently rejected a request as full.
    pub is_full: bool,
    /// Fraction of its requests that it rejects.
    pub rejection_ratio: f64,
    /// How much it takes well; `None` where that isn't learned.
    pub capacity: Option<Capacity>,
}

impl Candidate {
    /// Returns how many requests are at the leaf, as far as is known.
    #[must_use]
    pub fn requests(&self) -> u32 {
        let reported = self.load.map_or(0, |load| {
            load.waiting.saturating_add(load.running.saturating_sub(1))
        });
        reported.max(self.in_flight)
    }

    /// Returns the expected time of a request there as a multiple of the baseline latency.
    #[must_use]
    pub fn expected(&self) -> f64 {
        self.latency() * (1.0 + self.queue())
    }

    /// Returns what a request there costs: the expected time, raised by what speaks against
    /// the leaf.
    #[must_use]
    pub fn cost(&self) -> f64 {
        let distance = if self.is_local { 1.0 } else { REMOTE_FACTOR };
        let connect = if self.is_connected {
            1.0
        } else {
            CONNECT_FACTOR
        };
        let full = if self.is_full { FULL_FACTOR } else { 1.0 };
        let latency = self.latency();
        let excess = (latency / SLOW_THRESHOLD).max(1.0);
        let rejections = 1.0 + self.rejection_ratio * REJECTION_WEIGHT;
        latency * excess * (1.0 + self.queue()) * distance * connect * full * rejections
    }

    /// Returns the latency of a request that does not wait there, as a multiple of the
    /// baseline.
    fn latency(&self) -> f64 {
        let learned = self.capacity.map(|capacity| capacity.time);
        let latency = learned.unwrap_or(self.relative_latency);
        latency.max(self.overdue).max(0.1)
    }

    /// Returns the requests at the leaf for each that it handles at a time.
    fn queue(&self) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let capacity = self
            .capacity
            .map_or(slots, |capacity| capacity.concurrency.max(1.0));
        f64::from(self.requests()) / capacity
    }
}

/// Returns the index of one of `candidates`, chosen by the random numbers `draws` in
/// `0.0..1.0`; `None` if there are none. Of leaves whose capacity is learned, two are drawn and
/// the cheaper is taken: a leaf that is dearer than another seldom gets a request, while hosts
/// with the same view still choose differently.
#[must_use]
pub fn choose(candidates: &[Candidate], draws: [f64; 2]) -> Option<usize> {
    let has_learned = candidates.iter().any(|leaf| leaf.capacity.is_some());
    if !has_learned {
        return choose_leaf(candidates, draws[0]);
    }
    let [first, second] = draws.map(|draw| draw_leaf(candidates, draw, DRAW_EXPONENT));
    let (first, second) = (first?, second?);
    let is_cheaper = candidates[second].cost() < candidates[first].cost();
    Some(if is_cheaper { second } else { first })
}

/// Returns the index of one of `candidates`, chosen by the random number `draw` in
/// `0.0..1.0`; `None` if there are none.
#[must_use]
pub fn choose_leaf(candidates: &[Candidate], draw: f64) -> Option<usize> {
    draw_leaf(candidates, draw, COST_EXPONENT)
}

fn draw_leaf(candidates: &[Candidate], draw: f64, exponent: i32) -> Option<usize> {
    let weight = |candidate: &Candidate| candidate.cost().powi(-exponent);
    let total: f64 = candidates.iter().map(weight).sum();
    let mut remaining = draw * total;
    for (index, candidate) in candidates.iter().enumerate() {
        remaining -= weight(candidate);
        if remaining < 0.0 {
            return Some(index);
        }
    }
    candidates.len().checked_sub(1)
}
