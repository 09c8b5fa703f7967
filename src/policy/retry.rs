//! Whether a request that a leaf did not answer is sent to another.
//!
//! Load it answers: leaves that crash, refuse or lose answers under a request, and whole
//! services that do so at once. Only what certainly did not run is sent again when it
//! must not run twice; what reached a leaf counts against the fleet's allowance.

use {
    crate::{
        protocol::verdict::{Cause, Failure, Verdict},
        state::routes::Repeats,
    },
    std::time::Duration,
};

/// Sends of one request to leaves that refuse it, beyond the attempts of its route.
const REFUSED_SENDS: u32 = 2;

/// Pause before a leaf without a free connection is asked again.
const CONNECTION_PAUSE: Duration = Duration::from_millis(4);

/// Pause before leaves that could not be reached are tried again: about the time in
/// which a crashed process is started again.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(60);

/// Pause before the allowance is asked again.
const DENIED_PAUSE: Duration = Duration::from_millis(25);

/// How the sends of a request to one service have gone so far.
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

/// What follows a failed send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Another leaf is asked at once; no leaf saw the request.
    Free,
    /// A leaf is asked after a pause; no leaf saw the request.
    FreeAfter(Duration),
    /// Another leaf is asked if the allowance permits.
    Paid,
    /// None.
    No,
}

/// What follows a denial of the allowance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The allowance is asked again after a pause.
    After(Duration),
    /// The request is given up.
    Never,
}

impl Tries {
    /// Returns the tries of a request that was not sent yet.
    #[must_use]
    pub fn new(attempts: u32, repeats: Repeats) -> Self {
        Self {
            runs: 0,
            sends: 0,
            attempts,
            repeats,
        }
    }

    /// Notes a send that begins: it may run from now on.
    pub fn begin(&mut self) {
        self.runs += 1;
        self.sends += 1;
    }

    /// Notes a send that failed.
    pub fn failed(&mut self, verdict: Verdict, arrived: bool) {
        if verdict == Verdict::NotRun {
            self.runs -= 1;
        }
        if !arrived {
            self.sends -= 1;
        }
    }
}

/// Returns whether another leaf may run it after a send that ended, or may end, with
/// `verdict`.
#[must_use]
pub fn is_allowed(tries: &Tries, verdict: Verdict) -> bool {
    let is_room = tries.runs < tries.attempts && tries.sends < tries.attempts + REFUSED_SENDS;
    let is_safe = match tries.repeats {
        Repeats::Safe => true,
        Repeats::Never => verdict == Verdict::NotRun && tries.runs == 0,
    };
    is_room && is_safe
}

/// Decides what follows a send that failed. `arrived` tells whether it reached a leaf,
/// `has_other` whether a leaf is left that was not tried.
#[must_use]
pub fn decide(tries: &Tries, failure: Failure, arrived: bool, has_other: bool) -> Retry {
    match (is_allowed(tries, failure.verdict), arrived, has_other) {
        (false, ..) => Retry::No,
        (true, true, _) => Retry::Paid,
        (true, false, true) => Retry::Free,
        (true, false, false) if failure.cause == Cause::Overloaded => {
            Retry::FreeAfter(CONNECTION_PAUSE)
        }
        (true, false, false) => Retry::FreeAfter(UNREACHABLE_PAUSE),
    }
}

/// Decides what follows a denial of the allowance for a request of this age. It comes
/// back with each request, so that a short wait mostly helps; beyond the aim the caller
/// is better off with a new attempt of its own.
#[must_use]
pub fn when_denied(age: Duration, aim: Duration) -> Next {
    if age + DENIED_PAUSE < aim {
        Next::After(DENIED_PAUSE)
    } else {
        Next::Never
    }
}

impl Retry {
    /// Returns the name that logs use.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Free => "other_leaf",
            Self::FreeAfter(_) => "again_later",
            Self::Paid => "if_allowance",
            Self::No => "none",
        }
    }
}
