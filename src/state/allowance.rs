//! A host's share of what all entry hosts together may send beyond first requests.
//!
//! The fleet may send a service `ratio` of its requests and `extra` more again in any
//! window. Each host earns `ratio` of the requests that it sees itself and a share of
//! `extra`, so that the sum holds with no word between hosts. Where few hosts ask the leaves
//! of a service for all others, `extra` is theirs alone.

use std::time::{Duration, Instant};

/// Part of the ratio that is used: requests counted at the edge of a window, and those
/// of hosts that died with their counts, may be missing.
const RATIO_USED: f64 = 0.85;

/// What the fleet may send again, in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetAllowance {
    /// Share of the requests for a service.
    pub ratio: f64,
    /// Sends beyond that share.
    pub extra: f64,
    /// Length of the window.
    pub window: Duration,
}

impl Default for FleetAllowance {
    fn default() -> Self {
        Self {
            ratio: 0.1,
            extra: 10.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Which hosts share `extra` for a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// This many, with this one.
    Among(usize),
    /// Others do.
    Others,
}

/// One host's allowance for one service.
#[derive(Debug)]
pub struct Allowance {
    tokens: f64,
    refilled: Instant,
}

impl Allowance {
    /// Returns an allowance with nothing saved: an earlier process of this host may
    /// have spent its share a moment ago.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            refilled: now,
        }
    }

    /// Returns an allowance for a service that came up while this process ran, for longer
    /// than the window: nobody can have spent anything of it.
    #[must_use]
    pub fn saved(fleet: &FleetAllowance, share: Share, now: Instant) -> Self {
        Self {
            tokens: of_extra(fleet, share),
            refilled: now,
        }
    }

    /// Notes a first request for the service.
    pub fn earn(&mut self, fleet: &FleetAllowance, share: Share, now: Instant) {
        self.refill(fleet, share, now);
        self.tokens = (self.tokens + fleet.ratio * RATIO_USED).min(cap(fleet, share));
    }

    /// Takes one send; false when there is none left.
    pub fn spend(&mut self, fleet: &FleetAllowance, share: Share, now: Instant) -> bool {
        self.refill(fleet, share, now);
        let is_left = self.tokens >= 1.0;
        if is_left {
            self.tokens -= 1.0;
        }
        is_left
    }

    /// A window may begin with everything saved and end with all that was earned in
    /// it, so half of the share is what can be saved and half what time brings.
    fn refill(&mut self, fleet: &FleetAllowance, share: Share, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled);
        self.refilled = now;
        let rate = of_extra(fleet, share) / fleet.window.as_secs_f64();
        self.tokens = (self.tokens + rate * passed.as_secs_f64()).min(cap(fleet, share));
    }
}

/// Returns this host's part of `extra` that it may save, and that comes back in a window.
fn of_extra(fleet: &FleetAllowance, share: Share) -> f64 {
    match share {
        #[expect(clippy::cast_precision_loss, reason = "numbers of hosts are small")]
        Share::Among(hosts) => fleet.extra * 0.5 / hosts.max(1) as f64,
        Share::Others => 0.0,
    }
}

/// Returns what can be saved. A whole send can, however small the share.
fn cap(fleet: &FleetAllowance, share: Share) -> f64 {
    of_extra(fleet, share).max(1.0)
}
