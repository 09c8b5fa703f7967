//! How long an answer waits for the shards that are still out.
//!
//! Load it answers: both replicas of a shard are slow or gone. Until just before the
//! route's aim each further shard makes the answer better; after it, the caller is
//! better served by what is there, as soon as that is enough to be an answer.

use std::time::Duration;

/// Part of the aim kept for the way back to the caller.
const WAY_BACK: f64 = 0.1;

/// Least time kept for the way here, which the caller counts too, and back: callers are
/// up to 3 ms away and may open a connection first, and merging takes a few
/// milliseconds of a quarter of a core.
const LEAST_WAY_BACK: Duration = Duration::from_millis(15);

/// How far a query has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Shards asked.
    pub total: usize,
    /// Shards whose reply is in.
    pub done: usize,
    /// Shards that can't reply any more.
    pub failed: usize,
    /// Least number of replies that make an answer.
    pub least: usize,
    /// Time since the request came.
    pub age: Duration,
    /// Time within which an answer is worth most.
    pub aim: Duration,
    /// Time after which no answer is of use.
    pub limit: Duration,
}

/// What to do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// Answer with what is there.
    Answer,
    /// Say at once that there will be no answer.
    Fail,
    /// Wait, at most until the request is this old.
    Until(Duration),
}

/// Decides whether to wait on.
#[must_use]
pub fn decide(progress: &Progress) -> Wait {
    let Progress {
        total,
        done,
        failed,
        least,
        age,
        aim,
        limit,
    } = *progress;
    if total - failed < least {
        return Wait::Fail;
    }
    if done + failed == total {
        return Wait::Answer;
    }
    let cut = cut(aim).min(limit);
    match (done >= least, age >= limit) {
        (true, _) if age >= cut => Wait::Answer,
        (true, _) => Wait::Until(cut),
        (false, true) => Wait::Fail,
        (false, false) => Wait::Until(limit),
    }
}

/// Returns the age of a request at which it is answered with what is there.
#[must_use]
pub fn cut(aim: Duration) -> Duration {
    aim.saturating_sub(aim.mul_f64(WAY_BACK).max(LEAST_WAY_BACK))
}
