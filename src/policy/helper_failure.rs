//! What happens to a subquery whose helper does not reply.
//!
//! Handles helpers that are killed, freeze, lose power or are cut off while they query
//! leaves. The host that received the request must detect this within a fraction of its
//! latency objective, must not send a shard's request to more leaves than its route allows,
//! and must not turn each lost helper into many attempts.

use {crate::protocol::verdict::Verdict, std::time::Duration};

/// Fraction of the latency objective in which a helper must accept a subquery. The time
/// after that depends on its leaves.
const ACCEPT_RATIO: f64 = 0.2;

/// Fraction of the latency objective in which the cancellation of a subquery reaches its
/// helper.
const CANCEL_RATIO: f64 = 0.1;

/// Shortest time to accept a subquery: a busy helper first finishes one of another request.
const MIN_ACCEPT_TIMEOUT: Duration = Duration::from_millis(12);

/// Time for which a helper that did not reply is not used; doubled for each further failure
/// in a row.
const HELPER_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum number of doublings of [`HELPER_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Returns the time in which a helper must accept a subquery of a request with this latency
/// objective.
#[must_use]
pub fn accept_timeout(objective: Duration) -> Duration {
    objective.mul_f64(ACCEPT_RATIO).max(MIN_ACCEPT_TIMEOUT)
}

/// Returns the time for which the helper of a request with this latency objective queries
/// no second leaf of a shard. The delegating host may cancel the subquery in this time, and
/// then counts one attempt for each shard.
#[must_use]
pub fn hedge_hold(objective: Duration) -> Duration {
    accept_timeout(objective) + objective.mul_f64(CANCEL_RATIO)
}

/// Progress of a subquery when its helper failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It was not sent, or the helper replied that it queries no leaf.
    NotTaken,
    /// It was sent; the helper has not replied whether it accepts it.
    Sent,
    /// The helper has accepted it.
    Taken,
}

/// Returns how many leaves of a service another host may still query, of `attempts`
/// allowed; 0 if none. A helper that accepted the subquery may have used all of them, as
/// with a hedge.
#[must_use]
pub fn attempts_left(stage: Stage, attempts: u32) -> u32 {
    let used = match stage {
        Stage::NotTaken => 0,
        Stage::Sent => 1,
        Stage::Taken => attempts,
    };
    attempts.saturating_sub(used)
}

/// Returns whether the attempts of a host that takes the subquery over count against the
/// retry budget.
#[must_use]
pub fn uses_budget(stage: Stage) -> bool {
    stage != Stage::NotTaken
}

/// Returns whether the leaves may have run the request when a helper failed at this stage.
#[must_use]
pub fn verdict(stage: Stage) -> Verdict {
    match stage {
        Stage::NotTaken => Verdict::NotRun,
        Stage::Sent | Stage::Taken => Verdict::MayHaveRun,
    }
}

/// Returns the time for which a helper is not used after `failures` failures in a row.
#[must_use]
pub fn helper_backoff(failures: u32) -> Duration {
    HELPER_BACKOFF * 2_u32.pow(failures.saturating_sub(1).min(MAX_BACKOFF_DOUBLINGS))
}
