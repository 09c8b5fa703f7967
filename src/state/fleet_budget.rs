//! This host's retry budget: its share of what all entry hosts together may send beyond
//! first attempts.
//!
//! In any window the fleet may send a service further attempts for `ratio` of its requests,
//! and `extra` more. Each host earns `ratio` of the requests that it receives itself and a
//! share of `extra`, so that the sum stays within the fleet retry budget without messages
//! between hosts. Where only a few hosts query the leaves of a service on behalf of all
//! others, `extra` is divided among those few.

use std::time::{Duration, Instant};

/// Factor on the ratio that leaves a margin: requests counted at the edge of a window, and
/// those counted by hosts that have crashed since, may be missing from the sum.
const RATIO_MARGIN_FACTOR: f64 = 0.85;

/// Fleet retry budget: what all hosts may send beyond first attempts in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBudget {
    /// Further attempts per request for a service.
    pub ratio: f64,
    /// Further attempts beyond that ratio.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for FleetBudget {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            extra: 10.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Which hosts divide `extra` for a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetShare {
    /// This many hosts, including this one.
    DividedAmong(usize),
    /// Only other hosts.
    OtherHosts,
}

/// One host's retry budget for one service.
#[derive(Debug)]
pub struct HostBudget {
    tokens: f64,
    refilled_at: Instant,
}

impl HostBudget {
    /// Returns an empty budget: an earlier process of this host may have spent its share
    /// just before it ended.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Returns a full budget, for a service that was added after this process had run for
    /// longer than the window: no earlier process can have spent any of it.
    #[must_use]
    pub fn full(fleet: &FleetBudget, share: BudgetShare, now: Instant) -> Self {
        Self {
            tokens: extra_share(fleet, share),
            refilled_at: now,
        }
    }

    /// Adds what one request for the service earns.
    pub fn earn(&mut self, fleet: &FleetBudget, share: BudgetShare, now: Instant) {
        self.refill(fleet, share, now);
        self.tokens =
            (self.tokens + fleet.ratio * RATIO_MARGIN_FACTOR).min(max_tokens(fleet, share));
    }

    /// Takes one attempt; false when none is left. Of the attempts before, `unanswered` may still
    /// reach leaves that don't run at present, all of them in one window: they count as attempts
    /// of the window that begins now.
    pub fn spend(
        &mut self,
        fleet: &FleetBudget,
        share: BudgetShare,
        unanswered: usize,
        now: Instant,
    ) -> bool {
        self.spend_above(0, fleet, share, unanswered, now)
    }

    /// Does the same if `kept` more attempts remain.
    pub fn spend_above(
        &mut self,
        kept: usize,
        fleet: &FleetBudget,
        share: BudgetShare,
        unanswered: usize,
        now: Instant,
    ) -> bool {
        self.refill(fleet, share, now);
        #[expect(clippy::cast_precision_loss, reason = "numbers of attempts are small")]
        let (unanswered, kept) = (unanswered as f64, kept as f64);
        let room = max_tokens(fleet, share) - unanswered;
        self.tokens = self.tokens.min(room.max(0.0));
        let has_token = self.tokens >= 1.0 + kept;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Adds the share of `extra` that was earned since the last call.
    ///
    /// A window may start with a full budget and end with all that was earned in it, so
    /// half of the share is the capacity and half is earned per window.
    fn refill(&mut self, fleet: &FleetBudget, share: BudgetShare, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let rate = extra_share(fleet, share) / fleet.window.as_secs_f64();
        self.tokens = (self.tokens + rate * elapsed.as_secs_f64()).min(max_tokens(fleet, share));
    }
}

/// Returns the attempts of `extra` that this host may accumulate, and that it earns per
/// window.
fn extra_share(fleet: &FleetBudget, share: BudgetShare) -> f64 {
    match share {
        #[expect(clippy::cast_precision_loss, reason = "numbers of hosts are small")]
        BudgetShare::DividedAmong(hosts) => fleet.extra * 0.5 / hosts.max(1) as f64,
        BudgetShare::OtherHosts => 0.0,
    }
}

/// Returns the most tokens that can accumulate: at least one attempt, however small the
/// share.
fn max_tokens(fleet: &FleetBudget, share: BudgetShare) -> f64 {
    extra_share(fleet, share).max(1.0)
}
