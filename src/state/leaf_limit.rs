//! The rate limit that a leaf in need states in its replies, and this host's share of it.
//!
//! The limit holds for all hosts together. One host, the leaf's allocator
//! ([`policy::limit_sharing`](crate::policy::limit_sharing)), divides it among the hosts that
//! send to the leaf ([`rate_allocator`](super::rate_allocator)). A host without a share
//! sends nothing to the leaf.

use std::time::{Duration, Instant};

/// Smallest limit that is kept, requests per second. With a limit of zero no request would
/// ever show that the leaf has stopped stating it.
const MIN_RATE: f64 = 0.1;

/// What a leaf's replies state about its rate limit.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StatedLimit {
    /// Requests per second that the leaf takes from all hosts together; `None` when it
    /// states no limit.
    pub rate: Option<f64>,
    /// When the request was sent whose reply stated this; `None` before the first reply.
    pub as_of: Option<Instant>,
}

impl StatedLimit {
    /// Applies what another host knows, if it is newer. Returns whether the limit changed.
    pub fn merge(&mut self, other: Self) -> bool {
        other
            .as_of
            .is_some_and(|as_of| self.update(other.rate, as_of))
    }

    /// Applies what a reply states. Returns whether the limit changed; a reply to a request
    /// that was sent before the one that is known is ignored.
    pub fn update(&mut self, rate: Option<f64>, as_of: Instant) -> bool {
        if self.as_of.is_some_and(|known| known >= as_of) {
            return false;
        }
        let before = self.rate;
        self.rate = rate.map(|rate| rate.max(MIN_RATE));
        self.as_of = Some(as_of);
        self.rate != before
    }
}

/// Lifetime of a share, from the claim for it.
pub const SHARE_TTL: Duration = Duration::from_secs(2);

/// Time between two claims for a share that is in use.
pub const CLAIM_INTERVAL: Duration = Duration::from_millis(500);

/// Time between two claims of a host that got no share.
const DENIED_CLAIM_INTERVAL: Duration = Duration::from_secs(1);

/// Time of unused share that may be sent at once.
const BURST_TIME: Duration = Duration::from_secs(1);

/// Demand below which a share is released, requests per second.
const MIN_DEMAND: f64 = 0.05;

/// Weight of the latest sample in the estimate of the demand.
const DEMAND_WEIGHT: f64 = 0.5;

/// A share of a leaf's rate limit, as its allocator grants it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Requests per second until the share ends.
    pub rate: f64,
    /// Requests per second after that, while no allocator responds.
    pub fallback: f64,
    /// What the leaf's replies state, as far as the allocator knows.
    pub stated: StatedLimit,
}

/// This host's share of a leaf's rate limit, and its demand for it.
#[derive(Debug, Default)]
pub struct HostShare {
    rate: f64,
    fallback: f64,
    expires_at: Option<Instant>,
    tokens: f64,
    refilled_at: Option<Instant>,
    /// Requests since the last claim, sent and held back.
    wanted: u32,
    demand: f64,
    claimed_at: Option<Instant>,
    claim_due_at: Option<Instant>,
}

impl HostShare {
    /// Takes a token for a request; returns false when the request must not be sent now.
    pub fn try_send(&mut self, now: Instant) -> bool {
        self.wanted = self.wanted.saturating_add(1);
        self.refill(now);
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Returns the time until a request may be sent; `None` without a share.
    #[must_use]
    pub fn time_to_send(&self, now: Instant) -> Option<Duration> {
        let missing = 1.0 - self.tokens_at(now);
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        Duration::try_from_secs_f64(missing / self.rate(now)).ok()
    }

    /// Returns the requests per second that this host may send.
    #[must_use]
    pub fn rate(&self, now: Instant) -> f64 {
        match self.expires_at {
            None => 0.0,
            Some(at) if now < at => self.rate,
            Some(_) => self.fallback.min(self.rate),
        }
    }

    /// Returns whether this host has no claim: it made none, or released its share since.
    #[must_use]
    pub fn is_unclaimed(&self) -> bool {
        self.claim_due_at.is_none()
    }

    /// Returns the requests per second that this host would send without a limit, for the
    /// next claim; `None` when no claim is due. A demand of zero releases the share.
    pub fn start_claim(&mut self, now: Instant) -> Option<f64> {
        if self.claim_due_at.is_some_and(|due| now < due) {
            return None;
        }
        let elapsed = self
            .claimed_at
            .map_or(CLAIM_INTERVAL, |at| now.saturating_duration_since(at));
        let sample = f64::from(std::mem::take(&mut self.wanted)) / elapsed.as_secs_f64().max(0.05);
        self.demand = if self.claimed_at.is_none() {
            sample
        } else {
            self.demand + (sample - self.demand) * DEMAND_WEIGHT
        };
        self.claimed_at = Some(now);
        self.claim_due_at = Some(now + CLAIM_INTERVAL);
        if self.demand >= MIN_DEMAND {
            return Some(self.demand);
        }
        let held = self.rate(now);
        *self = Self::default();
        (held > 0.0).then_some(0.0)
    }

    /// Applies the share that a claim sent at `claimed_at` got.
    pub fn apply(&mut self, share: &Share, claimed_at: Instant, now: Instant) {
        if self.is_unclaimed() {
            return;
        }
        self.refill(now);
        self.rate = share.rate;
        self.fallback = share.fallback;
        self.expires_at = Some(claimed_at + SHARE_TTL);
        if share.rate <= 0.0 {
            self.claim_due_at = Some(claimed_at + DENIED_CLAIM_INTERVAL);
        }
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = Some(now);
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let rate = self.rate(now);
        let elapsed = self
            .refilled_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let most = (rate * BURST_TIME.as_secs_f64()).max(1.0);
        (self.tokens + rate * elapsed.as_secs_f64()).min(most)
    }
}
