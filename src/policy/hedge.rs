//! When a second leaf is asked because the first is late.
//!
//! Load it answers: each leaf stalls now and then, so that of many shards one is nearly
//! always late, while its replica would answer in the usual time.

use {crate::state::routes::Repeats, std::time::Duration};

/// Multiple of the usual time after which a reply is late: few replies of a leaf that
/// neither stalls nor queues take longer.
const LATE: f64 = 2.0;

/// Shortest wait: timers and the network are no finer.
const SHORTEST: Duration = Duration::from_millis(3);

/// Pause before the allowance is asked again for a second leaf: it comes back with each
/// request of the service.
pub const DENIED_PAUSE: Duration = Duration::from_millis(20);

/// Part of the aim in which a second leaf must be asked to be of use.
const LAST_CHANCE: f64 = 0.5;

/// Part of the aim after which a leaf counts as late while nothing is known of what is
/// usual.
const FIRST_GUESS: f64 = 0.25;

/// Returns the time of a route's requests while nothing is known of what is usual.
#[must_use]
pub fn first_guess(aim: Duration) -> Duration {
    aim.mul_f64(FIRST_GUESS)
}

/// Returns how long a leaf is waited for before another is asked.
#[must_use]
pub fn delay(usual: Option<Duration>, aim: Duration) -> Duration {
    match usual {
        Some(usual) => usual
            .mul_f64(LATE)
            .clamp(SHORTEST, aim.mul_f64(LAST_CHANCE).max(SHORTEST)),
        None => first_guess(aim).max(SHORTEST),
    }
}

/// How the sends of a request to one service stand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sends {
    /// Whether it may run more than once.
    pub repeats: Repeats,
    /// Sends under way.
    pub pending: usize,
    /// Whether another leaf was asked because the first was late, or there is none.
    pub hedged: bool,
}

/// Returns whether a second leaf may be asked when the first is late. A request that
/// waits for a free connection is at no leaf: the send that it waits for is its first.
#[must_use]
pub fn is_wanted(sends: Sends) -> bool {
    sends.repeats == Repeats::Safe && sends.pending > 0 && !sends.hedged
}
