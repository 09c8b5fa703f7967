//! When a rejected caller should retry.
//!
//! Handles a service without a leaf that can take a request now. The caller gets the time
//! after which the request is likely to succeed.

use std::time::Duration;

/// Why a request is rejected before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// This host has no routes yet.
    NoRoutes,
    /// No leaf of the service is known.
    NoLeaf,
    /// Too few shards have a leaf.
    TooFewShards,
    /// Every leaf that was tried is full.
    Full,
    /// The leaves of the shards reject too many requests.
    Overloaded,
    /// The rate limits of the leaves are used up for this long.
    RateLimited(Duration),
    /// More requests wait for the leaves than they can answer in time; that lasts this long.
    Crowded(Duration),
    /// No leaf could be reached.
    Unreachable,
    /// Leaves have ended under the request, and none gets it for this long.
    Quarantined(Duration),
    /// This host has no proof that its copy of the registry has all withdrawals of keys.
    Unproven,
    /// The route or the caller's organisation can't be read in the configuration.
    Unreadable,
    /// The caller's organisation has used up its quota for this long.
    OverQuota(Duration),
    /// Nobody has answered whether the organisation's quota is used up; the caller should come
    /// back after this time.
    QuotaUnknown(Duration),
    /// Callers hold too much memory of this host together.
    NoMemory,
    /// This host is stopping, and the request can't end before it has ended.
    Stopping,
}

/// Time in which a starting host reads the routes.
const STARTUP_TIME: Duration = Duration::from_millis(300);

/// Time in which a leaf that crashed or is replaced is usually available again.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// Multiple of the baseline latency after which a full leaf has room: it runs that many
/// queued requests first.
const DRAIN_FACTOR: u32 = 2;

/// Delay while no baseline latency is known.
const DEFAULT_DELAY: Duration = Duration::from_millis(100);

/// Time in which hosts adapt to the capacity of overloaded leaves: a few decreases and
/// increases of their admission limits.
const OVERLOAD_TIME: Duration = Duration::from_millis(300);

/// Time in which a host gets a proof from another host, or a caller reaches one that has it.
const PROOF_TIME: Duration = Duration::from_millis(50);

/// Returns the delay after which a caller that was rejected for `reason` should retry.
/// `baseline` is the baseline latency of the route.
#[must_use]
pub fn retry_after(reason: Reason, baseline: Option<Duration>) -> Duration {
    match reason {
        Reason::NoRoutes => STARTUP_TIME,
        Reason::NoLeaf | Reason::TooFewShards | Reason::Unreadable => RESTART_TIME,
        Reason::Full => baseline.map_or(DEFAULT_DELAY, |baseline| baseline * DRAIN_FACTOR),
        Reason::Overloaded | Reason::NoMemory => OVERLOAD_TIME,
        Reason::RateLimited(wait)
        | Reason::Quarantined(wait)
        | Reason::Crowded(wait)
        | Reason::OverQuota(wait)
        | Reason::QuotaUnknown(wait) => wait,
        Reason::Unreachable => RESTART_TIME / 2,
        Reason::Unproven => PROOF_TIME,
        // Other hosts serve at present.
        Reason::Stopping => Duration::ZERO,
    }
}

impl Reason {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoutes => "no_routes",
            Self::NoLeaf => "no_leaf",
            Self::TooFewShards => "too_few_shards",
            Self::Full => "full",
            Self::Overloaded => "overloaded",
            Self::RateLimited(_) => "rate_limited",
            Self::Crowded(_) => "crowded",
            Self::Unreachable => "unreachable",
            Self::Quarantined(_) => "quarantined",
            Self::Unproven => "unproven",
            Self::Unreadable => "unreadable",
            Self::OverQuota(_) => "over_quota",
            Self::QuotaUnknown(_) => "quota_unknown",
            Self::NoMemory => "no_memory",
            Self::Stopping => "stopping",
        }
    }
}
