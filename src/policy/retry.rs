//! Whether a request without a reply is sent to another leaf.
//!
//! Handles leaves that crash, reject requests or lose replies, and whole services that do
//! so at once. A request that must not run twice is retried only if it certainly did not
//! run. A retry after an attempt that reached a leaf counts against the fleet retry budget.

use {
    crate::{
        protocol::verdict::{Cause, Failure, Verdict},
        state::routes::Repeats,
    },
    std::time::Duration,
};

/// Maximum number of rejected attempts of a request beyond the attempts of its route.
const REJECTED_ATTEMPTS: u32 = 2;

/// Delay before a retry at a leaf without a free connection.
const CONNECTION_DELAY: Duration = Duration::from_millis(4);

/// Delay before a retry at unreachable leaves: about the time in which a crashed process is
/// restarted.
const UNREACHABLE_DELAY: Duration = Duration::from_millis(60);

/// Delay before the retry budget is checked again.
const DENIED_DELAY: Duration = Duration::from_millis(25);

/// Counts of a request's attempts at one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tries {
    /// Leaves that may have run it.
    pub runs: u32,
    /// Attempts that reached a leaf or may have.
    pub sends: u32,
    /// Maximum number of leaves that may run it.
    pub attempts: u32,
    /// Whether it may run more than once.
    pub repeats: Repeats,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Another leaf is tried at once; no leaf got the request.
    Free,
    /// A leaf is tried after a delay; no leaf got the request.
    FreeAfter(Duration),
    /// Another leaf is tried if the retry budget permits.
    Paid,
    /// There is no retry.
    No,
}

/// What follows when the retry budget denies a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// The retry budget is checked again after a delay.
    After(Duration),
    /// The request is not retried.
    Never,
}

impl Tries {
    /// Returns the counts of a request that was not sent yet.
    #[must_use]
    pub fn new(attempts: u32, repeats: Repeats) -> Self {
        Self {
            runs: 0,
            sends: 0,
            attempts,
            repeats,
        }
    }

    /// Records the start of an attempt: the leaf may run the request from now on.
    pub fn begin(&mut self) {
        self.runs += 1;
        self.sends += 1;
    }

    /// Records a failed attempt; `arrived` is whether it reached a leaf.
    pub fn failed(&mut self, verdict: Verdict, arrived: bool) {
        if verdict == Verdict::NotRun {
            self.runs -= 1;
        }
        if !arrived {
            self.sends -= 1;
        }
    }
}

/// Returns whether another leaf may run the request after an attempt that ended, or may
/// end, with `verdict`.
#[must_use]
pub fn is_allowed(tries: &Tries, verdict: Verdict) -> bool {
    let has_attempts =
        tries.runs < tries.attempts && tries.sends < tries.attempts + REJECTED_ATTEMPTS;
    let is_safe = match tries.repeats {
        Repeats::Safe => true,
        Repeats::Never => verdict == Verdict::NotRun && tries.runs == 0,
    };
    has_attempts && is_safe
}

/// Returns what follows a failed attempt. `arrived` is whether it reached a leaf,
/// `has_other` whether there is a leaf that was not tried.
#[must_use]
pub fn decide(tries: &Tries, failure: Failure, arrived: bool, has_other: bool) -> Retry {
    match (is_allowed(tries, failure.verdict), arrived, has_other) {
        (false, ..) => Retry::No,
        (true, true, _) => Retry::Paid,
        (true, false, true) => Retry::Free,
        (true, false, false) if failure.cause == Cause::Overloaded => {
            Retry::FreeAfter(CONNECTION_DELAY)
        }
        (true, false, false) => Retry::FreeAfter(UNREACHABLE_DELAY),
    }
}

/// Returns what follows when the retry budget denies a retry to a request of this age. Each
/// request refills the budget, so a short delay usually helps; beyond the latency objective
/// a new request of the caller serves it better.
#[must_use]
pub fn when_denied(age: Duration, objective: Duration) -> Next {
    if age + DENIED_DELAY < objective {
        Next::After(DENIED_DELAY)
    } else {
        Next::Never
    }
}

impl Retry {
    /// Returns the name in logs.
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
