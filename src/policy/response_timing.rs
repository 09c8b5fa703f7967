//! How long a response waits for the shards without a reply.
//!
//! Handles a shard with both replicas slow or gone. Until just before the route's latency
//! objective each further shard improves the response. After that, the caller is better
//! served by the replies received so far, as soon as they are enough for a response.

use std::time::Duration;

/// Fraction of the latency objective reserved for the transfer to the caller.
const TRANSFER_RATIO: f64 = 0.1;

/// Minimum time reserved for the transfer of the request, which the caller counts too, and
/// of the response. Callers are up to 3 ms away and may open a connection first, and
/// merging takes a few milliseconds of a quarter of a core.
const MIN_TRANSFER_TIME: Duration = Duration::from_millis(15);

/// Progress of a request to many shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Shards queried.
    pub total: usize,
    /// Shards that replied.
    pub done: usize,
    /// Shards that can't reply any more.
    pub failed: usize,
    /// Minimum replies for a response.
    pub min_replies: usize,
    /// Time since the request was received.
    pub age: Duration,
    /// Latency objective: the age up to which a response is worth most.
    pub objective: Duration,
    /// Deadline: the age after which no response is of use.
    pub deadline: Duration,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// Send the response with the replies received so far.
    Respond,
    /// Fail at once: there can be no response.
    Fail,
    /// Wait, at most until the request has this age.
    Until(Duration),
}

/// Returns whether to wait for more replies.
#[must_use]
pub fn decide(progress: &Progress) -> Wait {
    let Progress {
        total,
        done,
        failed,
        min_replies,
        age,
        objective,
        deadline,
    } = *progress;
    if total - failed < min_replies {
        return Wait::Fail;
    }
    if done + failed == total {
        return Wait::Respond;
    }
    let soft_deadline = soft_deadline(objective).min(deadline);
    match (done >= min_replies, age >= deadline) {
        (true, _) if age >= soft_deadline => Wait::Respond,
        (true, _) => Wait::Until(soft_deadline),
        (false, true) => Wait::Fail,
        (false, false) => Wait::Until(deadline),
    }
}

/// Returns the soft deadline: the age of a request at which the response is sent with the
/// replies received so far.
#[must_use]
pub fn soft_deadline(objective: Duration) -> Duration {
    objective.saturating_sub(objective.mul_f64(TRANSFER_RATIO).max(MIN_TRANSFER_TIME))
}
