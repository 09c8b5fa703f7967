//! When a hedge is sent to a second leaf because the reply of the first is late.
//!
//! Handles leaves that stall now and then: one of many shards is nearly always late, while
//! its replica would reply within the baseline latency. On a host that is short of CPU all
//! replies are processed late, so the other replies of the request show sooner than the
//! baseline which of its shards are late.

use {crate::state::routes::Repeats, std::time::Duration};

/// Multiple of the baseline latency after which a reply is late: few replies of a leaf that
/// neither stalls nor queues take longer.
const LATE_FACTOR: f64 = 2.0;

/// Fraction of a request's shards whose replies give the typical latency of the request. If
/// more than the remaining quarter stall or are slow, hedging does not help.
const SIBLING_RATIO: f64 = 0.75;

/// Multiple of the time in which [`SIBLING_RATIO`] of the shards replied, after which the
/// others are late: leaves that neither stall nor queue differ by less.
const LATE_SIBLING_FACTOR: f64 = 1.3;

/// Smallest number of shards with which the replies of a request predict the others.
const MIN_SIBLINGS: usize = 8;

/// Shortest hedge delay, given the precision of timers and the network.
const MIN_DELAY: Duration = Duration::from_millis(3);

/// Delay before the retry budget is checked again for a hedge: each request of the service
/// refills it.
pub const DENIED_DELAY: Duration = Duration::from_millis(20);

/// Maximum hedge delay as a fraction of the latency objective: a later hedge is of no use.
const MAX_DELAY_RATIO: f64 = 0.5;

/// Fraction of the latency objective after which a reply is late while no baseline latency
/// is known.
const INITIAL_BASELINE_RATIO: f64 = 0.25;

/// Returns the assumed latency of a route's requests while no baseline is known.
#[must_use]
pub fn initial_baseline(objective: Duration) -> Duration {
    objective.mul_f64(INITIAL_BASELINE_RATIO)
}

/// Returns the delay after which a hedge is sent to another leaf.
#[must_use]
pub fn delay(baseline: Option<Duration>, objective: Duration) -> Duration {
    match baseline {
        Some(baseline) => baseline
            .mul_f64(LATE_FACTOR)
            .clamp(MIN_DELAY, objective.mul_f64(MAX_DELAY_RATIO).max(MIN_DELAY)),
        None => initial_baseline(objective).max(MIN_DELAY),
    }
}

/// Returns how many replies of a request to `shards` shards give its typical latency;
/// `None` if there are too few shards.
#[must_use]
pub fn sample_size(shards: usize) -> Option<usize> {
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "numbers of shards are small"
    )]
    let replies = (shards as f64 * SIBLING_RATIO).ceil() as usize;
    (shards >= MIN_SIBLINGS).then_some(replies)
}

/// Returns the hedge delay for the other shards of a request, when [`sample_size`] of
/// them took `took`; at most `delay`, the delay without this information.
#[must_use]
pub fn sibling_delay(took: Duration, delay: Duration) -> Duration {
    took.mul_f64(LATE_SIBLING_FACTOR)
        .clamp(MIN_DELAY, delay.max(MIN_DELAY))
}

/// State of a request's attempts at one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptState {
    /// Whether the request may run more than once.
    pub repeats: Repeats,
    /// Attempts in flight.
    pub in_flight: usize,
    /// Whether a hedge was sent or cannot be sent, for example for lack of another leaf.
    pub hedged: bool,
}

/// Returns whether a hedge may be sent when the first reply is late. A request that waits
/// for a free connection has reached no leaf: the attempt that it waits for is its first.
#[must_use]
pub fn may_hedge(state: AttemptState) -> bool {
    state.repeats == Repeats::Safe && state.in_flight > 0 && !state.hedged
}
