//! Who is next among the requests that wait for a place at a leaf, and who is refused.
//!
//! Handles more requests than the leaves of a service can run at once: a burst, one organisation
//! that sends many times its usual, or a leaf that has become slow. Who came first would let one
//! organisation's requests delay all others; priority alone would let the most urgent starve the
//! rest. A request that can't be answered in time any more only delays those behind it.

use std::{
    cmp::Ordering,
    time::{Duration, Instant},
};

/// One place in this many goes to the organisation that was served least, whatever its
/// priority.
const FAIR_TURN: u64 = 4;

/// Cost factor of a leaf in another failure domain than the host that sends the request: its
/// reply crosses the network between them.
const REMOTE_FACTOR: f64 = 1.3;

/// Most requests that wait for the leaves of one service; the order of more costs the placer
/// more than they gain.
const MAX_AHEAD: usize = 256;

/// Shortest time after which a refused caller comes back.
const MIN_RETURN_TIME: Duration = Duration::from_millis(20);

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
    /// Its priority, 0 being the most urgent.
    pub priority: u32,
    /// Requests of its organisation that were served lately, compared with the other
    /// organisations that wait.
    pub served: f64,
    /// When it began to wait.
    pub since: Instant,
}

/// A leaf at which a request could be placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// Requests that it has a place for.
    pub capacity: u32,
    /// Requests that have a place.
    pub taken: u32,
    /// Expected time of a request there.
    pub time: Duration,
    /// Whether it is in the failure domain of the host that sends the request.
    pub is_local: bool,
}

/// What becomes of the request that is next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It gets a place at the leaf with this index.
    Placed(usize),
    /// It waits: the best leaf has no place, and one that has is expected to take longer.
    Waits,
    /// It can't be answered in time; its caller may come back after this time.
    Refused(Duration),
}

impl Place {
    /// Returns the expected time until a request that is placed here now, or as soon as there is
    /// room with `ahead` others before it, has its reply.
    fn end(&self, ahead: usize) -> f64 {
        let capacity = f64::from(self.capacity.max(1));
        let time = self.time.as_secs_f64();
        let excess = f64::from((self.taken + 1).saturating_sub(self.capacity));
        let queued = if self.has_room() { 0.0 } else { to_f64(ahead) };
        time * (1.0 + (excess + queued) / capacity)
    }

    fn has_room(&self) -> bool {
        self.taken < self.capacity
    }
}

/// Compares two requests that wait for the `turn`th place; the lesser is next.
#[must_use]
pub fn compare(turn: u64, left: &Waiting, right: &Waiting) -> Ordering {
    let fair = left.served.total_cmp(&right.served);
    let urgent = left.priority.cmp(&right.priority);
    let order = if turn.is_multiple_of(FAIR_TURN) {
        fair.then(urgent)
    } else {
        urgent.then(fair)
    };
    order.then(left.since.cmp(&right.since))
}

/// Returns what becomes of a request whose deadline is in `left`, when `ahead` others wait for
/// the same `places` before it.
#[must_use]
pub fn judge(places: &[Place], ahead: usize, left: Duration) -> Verdict {
    let cost = |place: &Place| {
        let distance = if place.is_local { 1.0 } else { REMOTE_FACTOR };
        place.end(ahead) * distance
    };
    let best = (0..places.len())
        .min_by(|one, other| cost(&places[*one]).total_cmp(&cost(&places[*other])));
    let Some(best) = best else {
        return Verdict::Refused(MIN_RETURN_TIME);
    };
    let earliest = places.iter().map(|place| place.end(ahead));
    let earliest = earliest.fold(f64::INFINITY, f64::min);
    if earliest > left.as_secs_f64() || ahead >= MAX_AHEAD {
        return Verdict::Refused(return_time(places, ahead));
    }
    if places[best].has_room() && ahead == 0 {
        Verdict::Placed(best)
    } else {
        Verdict::Waits
    }
}

/// Returns the time in which the places drain what has one or waits ahead.
fn return_time(places: &[Place], ahead: usize) -> Duration {
    let rate: f64 = places
        .iter()
        .map(|place| f64::from(place.capacity.max(1)) / place.time.as_secs_f64().max(1e-3))
        .sum();
    let taken: u32 = places.iter().map(|place| place.taken).sum();
    let time = (f64::from(taken) + to_f64(ahead)) / rate.max(1e-3);
    Duration::from_secs_f64(time.min(60.0)).max(MIN_RETURN_TIME)
}

#[expect(clippy::cast_precision_loss, reason = "numbers of requests are small")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
