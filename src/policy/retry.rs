//! Whether a request that a leaf did not answer is sent to another.
//!
//! Load it answers: leaves that crash, refuse or lose answers under a request. Only what
//! certainly did not run is sent again when it must not run twice.

use crate::{protocol::verdict::Verdict, state::routes::Repeats};

/// Sends of one request to leaves that refuse it, beyond the attempts of its route.
const REFUSED_SENDS: u32 = 2;

/// How the sends of a request have gone so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tries {
    /// Leaves that may have run it.
    pub runs: u32,
    /// Sends that reached a leaf or may have.
    pub sends: u32,
    /// Leaves that may run it at most.
    pub attempts: u32,
    /// Whether it may run more than once.
    pub repeats: Repeats,
}

/// Returns whether another leaf may be asked after a send that ended with `verdict`.
#[must_use]
pub fn is_allowed(tries: &Tries, verdict: Verdict) -> bool {
    let is_room = tries.runs < tries.attempts && tries.sends < tries.attempts + REFUSED_SENDS;
    let is_safe = match tries.repeats {
        Repeats::Safe => true,
        Repeats::Never => verdict == Verdict::NotRun && tries.runs == 0,
    };
    is_room && is_safe
}
