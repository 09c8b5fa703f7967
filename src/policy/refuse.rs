//! When a caller that is turned away should come back.
//!
//! Load it answers: a service none of whose leaves can take a request now. The time
//! given is the one after which the request is likely to be served.

use std::time::Duration;

/// Why a request is refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// This host knows no routes yet.
    NoRoutes,
    /// No leaf of the service is known.
    NoLeaf,
    /// Too few shards have a leaf.
    TooFewShards,
    /// Every leaf asked is full.
    Full,
    /// The leaves of the shards turn away too much.
    Overloaded,
    /// No leaf could be reached.
    Unreachable,
}

/// Time in which a starting host learns the routes.
const START_TIME: Duration = Duration::from_millis(300);

/// Time in which a leaf that crashed or is replaced is mostly back.
const RESTART_TIME: Duration = Duration::from_secs(1);

/// Queued requests that a full leaf works off before there is room, as a multiple of
/// the usual time of one.
const DRAIN_REQUESTS: u32 = 2;

/// Wait while nothing is known of the usual time.
const UNKNOWN_TIME: Duration = Duration::from_millis(100);

/// Time in which hosts find out how much the leaves of overloaded shards can take: a few
/// falls and rises of what they take on.
const OVERLOAD_TIME: Duration = Duration::from_millis(300);

/// Returns when a caller refused for `reason` should come back. `usual` is the usual
/// time of the route's requests.
#[must_use]
pub fn retry_after(reason: Reason, usual: Option<Duration>) -> Duration {
    match reason {
        Reason::NoRoutes => START_TIME,
        Reason::NoLeaf | Reason::TooFewShards => RESTART_TIME,
        Reason::Full => usual.map_or(UNKNOWN_TIME, |usual| usual * DRAIN_REQUESTS),
        Reason::Overloaded => OVERLOAD_TIME,
        Reason::Unreachable => RESTART_TIME / 2,
    }
}

impl Reason {
    /// Returns the name that logs and metrics use.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoutes => "no_routes",
            Self::NoLeaf => "no_leaf",
            Self::TooFewShards => "too_few_shards",
            Self::Full => "full",
            Self::Overloaded => "overloaded",
            Self::Unreachable => "unreachable",
        }
    }
}
