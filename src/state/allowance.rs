//! A host's share of what all entry hosts together may send beyond first requests.
//!
//! The fleet may send a service `ratio` of its requests and `extra` more again in any
//! window. Each host earns `ratio` of the requests that it sees itself and a share of
//! `extra`, so that the sum holds with no word between hosts.

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

    /// Notes a first request for the service.
    pub fn earn(&mut self, fleet: &FleetAllowance, hosts: usize, now: Instant) {
        self.refill(fleet, hosts, now);
        let cap = cap(fleet, hosts);
        self.tokens = (self.tokens + fleet.ratio * RATIO_USED).min(cap);
    }

    /// Takes one send; false when there is none left.
    pub fn spend(&mut self, fleet: &FleetAllowance, hosts: usize, now: Instant) -> bool {
        let is_left = self.has(fleet, hosts, now);
        if is_left {
            self.tokens -= 1.0;
        }
        is_left
    }

    /// Returns whether a send is left.
    pub fn has(&mut self, fleet: &FleetAllowance, hosts: usize, now: Instant) -> bool {
        self.refill(fleet, hosts, now);
        self.tokens >= 1.0
    }

    /// A window may begin with everything saved and end with all that was earned in
    /// it, so half of the share is what can be saved and half what time brings.
    fn refill(&mut self, fleet: &FleetAllowance, hosts: usize, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled);
        self.refilled = now;
        let cap = cap(fleet, hosts);
        let rate = cap / fleet.window.as_secs_f64();
        self.tokens = (self.tokens + rate * passed.as_secs_f64()).min(cap);
    }
}

fn cap(fleet: &FleetAllowance, hosts: usize) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "numbers of hosts are small")]
    let hosts = hosts.max(1) as f64;
    (fleet.extra * 0.5 / hosts).max(1.0)
}
