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

/// Delay before a retry at an unreachable leaf while others are busy: about the time in which a
/// crashed process is restarted.
const UNREACHABLE_DELAY: Duration = Duration::from_millis(60);

/// Delay before the retry budget is checked again.
const DENIED_DELAY: Duration = Duration::from_millis(25);

/// Counts of a request's attempts at one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptCount {
    /// Leaves that may have run it.
    pub runs: u32,
    /// Attempts that reached a leaf or may have.
    pub delivered: u32,
    /// Maximum number of leaves that may run it.
    pub max_attempts: u32,
    /// Whether it may run more than once.
    pub repeats: Repeats,
}

/// The other leaves of a service after a failed attempt at one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OtherLeaves {
    /// One was not tried.
    Untried,
    /// All were tried.
    Tried,
    /// All were tried, and no connection could be opened to any leaf of the service.
    Unreached,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Another leaf is tried at once; no leaf got the request.
    Now,
    /// A leaf is tried after a delay; no leaf got the request.
    After(Duration),
    /// Another leaf is tried if the retry budget permits.
    WithBudget,
    /// There is no retry.
    No,
}

/// What follows when the retry budget denies a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetRetry {
    /// The retry budget is checked again after a delay.
    After(Duration),
    /// The request is not retried.
    Never,
}

impl AttemptCount {
    /// Returns the counts of a request that was not sent yet.
    #[must_use]
    pub fn new(max_attempts: u32, repeats: Repeats) -> Self {
        Self {
            runs: 0,
            delivered: 0,
            max_attempts,
            repeats,
        }
    }

    /// Records the start of an attempt: the leaf may run the request from now on.
    pub fn record_start(&mut self) {
        self.runs += 1;
        self.delivered += 1;
    }

    /// Records a failed attempt; `arrived` is whether it reached a leaf.
    pub fn record_failure(&mut self, verdict: Verdict, arrived: bool) {
        if verdict == Verdict::NotRun {
            self.runs -= 1;
        }
        if !arrived {
            self.delivered -= 1;
        }
    }
}

/// Returns whether another leaf may run the request after an attempt that ended, or may
/// end, with `verdict`.
#[must_use]
pub fn is_allowed(counts: &AttemptCount, verdict: Verdict) -> bool {
    let has_attempts = counts.runs < counts.max_attempts
        && counts.delivered < counts.max_attempts.saturating_add(REJECTED_ATTEMPTS);
    let is_safe = match counts.repeats {
        Repeats::Safe => true,
        Repeats::Never => verdict == Verdict::NotRun && counts.runs == 0,
    };
    has_attempts && is_safe
}

/// Returns what follows a failed attempt. `arrived` is whether it reached a leaf.
///
/// A service of which no leaf is reached isn't waited for: another host may reach it, and where
/// none does, the caller is told at once.
#[must_use]
pub fn decide(
    counts: &AttemptCount,
    failure: Failure,
    arrived: bool,
    others: OtherLeaves,
) -> Retry {
    match (is_allowed(counts, failure.verdict), arrived, others) {
        (false, ..) | (true, false, OtherLeaves::Unreached) => Retry::No,
        (true, true, _) => Retry::WithBudget,
        (true, false, OtherLeaves::Untried) => Retry::Now,
        (true, false, OtherLeaves::Tried) if failure.cause == Cause::Overloaded => {
            Retry::After(CONNECTION_DELAY)
        }
        (true, false, OtherLeaves::Tried) => Retry::After(UNREACHABLE_DELAY),
    }
}

/// Returns what follows when the retry budget denies a retry to a request of this age. Each
/// request refills the budget, so a short delay usually helps; beyond the latency objective
/// a new request of the caller serves it better.
#[must_use]
pub fn when_denied(age: Duration, objective: Duration) -> BudgetRetry {
    if age + DENIED_DELAY < objective {
        BudgetRetry::After(DENIED_DELAY)
    } else {
        BudgetRetry::Never
    }
}

impl Retry {
    /// Returns the name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Now => "other_leaf",
            Self::After(_) => "again_later",
            Self::WithBudget => "if_allowance",
            Self::No => "none",
        }
    }
}
