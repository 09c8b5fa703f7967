//! When a second leaf is asked because the first is late.
//!
//! Load it answers: each leaf stalls now and then, so that of many shards one is nearly
//! always late, while its replica would answer in the usual time.

use std::time::Duration;

/// Multiple of the usual time after which a reply is late: few replies of a leaf that
/// neither stalls nor queues take longer.
const LATE: f64 = 2.0;

/// Shortest wait: timers and the network are no finer.
const SHORTEST: Duration = Duration::from_millis(3);

/// Part of the aim in which a second leaf must be asked to be of use.
const LAST_CHANCE: f64 = 0.5;

/// Part of the aim after which a leaf counts as late while nothing is known of what is
/// usual.
const FIRST_GUESS: f64 = 0.25;

/// Returns how long a leaf is waited for before another is asked.
#[must_use]
pub fn delay(usual: Option<Duration>, aim: Duration) -> Duration {
    match usual {
        Some(usual) => usual
            .mul_f64(LATE)
            .clamp(SHORTEST, aim.mul_f64(LAST_CHANCE).max(SHORTEST)),
        None => aim.mul_f64(FIRST_GUESS).max(SHORTEST),
    }
}
