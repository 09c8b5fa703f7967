//! What follows when a host that was asked for some shards of a request does not answer.
//!
//! Load it answers: hosts that are killed, freeze, lose power or are cut off while they
//! ask leaves for others. Who took the request must notice within a part of its aim, must
//! not send a shard's request to more leaves than its route allows, and must not turn
//! each lost host into many sends.

use {crate::protocol::verdict::Verdict, std::time::Duration};

/// Part of the aim in which a host must have taken a piece on. What it does then takes its
/// leaves' time.
const TAKE_PART: f64 = 0.2;

/// Part of the aim in which the word that a piece is given up reaches its host.
const GIVE_UP_PART: f64 = 0.1;

/// Shortest time for that: a busy host finishes a piece of another request first.
const LEAST_TAKE: Duration = Duration::from_millis(12);

/// Time for which a host that did not answer is not asked; doubled for each further time.
const SHUN_TIME: Duration = Duration::from_secs(1);

/// Doublings of [`SHUN_TIME`] at most.
const SHUN_DOUBLINGS: u32 = 4;

/// Returns the time in which a host must have taken on a piece of a request with this aim.
#[must_use]
pub fn take_time(aim: Duration) -> Duration {
    aim.mul_f64(TAKE_PART).max(LEAST_TAKE)
}

/// Returns the time for which who takes on a piece of a request with this aim asks no second
/// leaf of a shard: who handed it over may give it up meanwhile, and then counts one.
#[must_use]
pub fn hold_time(aim: Duration) -> Duration {
    take_time(aim) + aim.mul_f64(GIVE_UP_PART)
}

/// How far a piece had come when its host was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// It was not sent, or the host said that it asks no leaf.
    NotTaken,
    /// It was sent; the host has not said whether it takes it on.
    Sent,
    /// The host has taken it on.
    Taken,
}

/// Returns how many leaves of a service another host may still ask, of `attempts` allowed;
/// 0 when none. Who has taken a piece on may have asked as many as a hedge makes.
#[must_use]
pub fn attempts_left(stage: Stage, attempts: u32) -> u32 {
    let spent = match stage {
        Stage::NotTaken => 0,
        Stage::Sent => 1,
        Stage::Taken => attempts,
    };
    attempts.saturating_sub(spent)
}

/// Returns whether who asks instead pays for it from the allowance.
#[must_use]
pub fn is_paid(stage: Stage) -> bool {
    stage != Stage::NotTaken
}

/// Returns what is known of the leaves that a host given up at this stage was to ask.
#[must_use]
pub fn verdict(stage: Stage) -> Verdict {
    match stage {
        Stage::NotTaken => Verdict::NotRun,
        Stage::Sent | Stage::Taken => Verdict::MayHaveRun,
    }
}

/// Returns for how long a host is not asked that did not answer `strikes` times in a row.
#[must_use]
pub fn shun_time(strikes: u32) -> Duration {
    SHUN_TIME * 2_u32.pow(strikes.saturating_sub(1).min(SHUN_DOUBLINGS))
}
