//! Which host divides the rate limit of a leaf, and when it may grant new shares.
//!
//! Handles a leaf that takes only so many requests per second from all hosts together.
//! Hosts that each kept to an equal part would use little of it: callers and helpers are
//! spread unevenly. So one host allocates shares by demand. All hosts choose the same one
//! from the fleet's hosts in the registry. Where their copies differ for a moment, two hosts
//! may be chosen: then neither grants what the other may have granted.

use {
    crate::{
        collections::{Name, hash},
        state::rate_allocator::Authority,
    },
    std::time::Duration,
};

/// Time after a change of the hosts, or after the start, in which an allocator only renews
/// shares: the change reaches all hosts, earlier shares end or are claimed here.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Age of this host's copy of the registry up to which all hosts know the same fleet. A
/// host renews its lease every two seconds.
const MAX_COPY_AGE: Duration = Duration::from_secs(3);

/// Timeout of a claim: the share that it renews lasts longer.
pub const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns the host that allocates the rate limit of `leaf`, by rendezvous hashing; `None`
/// without `hosts`.
#[must_use]
pub fn choose_allocator<'a>(leaf: &str, hosts: impl Iterator<Item = &'a Name>) -> Option<&'a Name> {
    let seed = hash(leaf, 0);
    hosts.max_by_key(|host| (hash(host, seed), *host))
}

/// Returns the authority of an allocator that has known the present hosts for `unchanged`,
/// with a copy of the registry of this age.
#[must_use]
pub fn authority(unchanged: Duration, copy_age: Duration) -> Authority {
    if unchanged < SETTLE_TIME {
        Authority::Unsettled
    } else if copy_age > MAX_COPY_AGE {
        Authority::Shared
    } else {
        Authority::Sole
    }
}
