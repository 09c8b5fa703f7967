//! Division of the rate limits of leaves among the hosts that send to them, by the host
//! that is their allocator.
//!
//! Hosts claim a share by their demand and claim it again before it ends. The allocator
//! grants no more than the limit less the shares of all other hosts that may still be in
//! use, so that the sum stays within the limit while shares move between hosts. A host that
//! the allocator no longer hears from may go on with its fallback share, which therefore
//! stays reserved.

use {
    super::leaf_limit::{SHARE_TTL, Share, StatedLimit},
    crate::collections::{Map, Name},
    std::time::{Duration, Instant},
};

/// Time after a host's last claim for which its fallback share stays reserved: the lifetime
/// of a host's entry in the registry.
const RESERVE_TTL: Duration = Duration::from_secs(20);

/// Time for which a claim counts towards the demand for a leaf.
const DEMAND_TTL: Duration = Duration::from_secs(5);

/// Smallest share that is granted, requests per second. Each host may send one request at
/// once, however small its share is: few hosts with a request per second each stay within a
/// small limit, many with a fraction of one might not.
const MIN_SHARE: f64 = 1.0;

/// Most hosts that share a large limit, which bounds the claims to an allocator.
const MAX_SHARES: f64 = 32.0;

/// A host's claim for a share of a leaf's rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Claim {
    /// Id of the leaf.
    pub leaf: Name,
    /// What the leaf's replies state, as far as the host knows.
    pub stated: StatedLimit,
    /// Requests per second that the host would send without a limit; 0 to release its
    /// share.
    pub demand: f64,
    /// Share that the host holds, requests per second.
    pub held: f64,
}

/// Whether another host may be allocating the same limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// None is: all hosts know the same fleet.
    Sole,
    /// One may be: this host's copy of the registry is old.
    Shared,
    /// One was until a moment ago, and its shares may not be known here yet.
    Unsettled,
}

/// Allocator of the rate limits of leaves.
#[derive(Debug, Default)]
pub struct RateAllocator {
    leaves: Map<Name, LeafClaims>,
}

#[derive(Debug, Default)]
struct LeafClaims {
    stated: StatedLimit,
    /// When a host last claimed a share, or released it.
    claimed_at: Option<Instant>,
    /// The last claim of each host.
    claims: Map<Name, GrantedClaim>,
}

#[derive(Clone, Copy, Debug)]
struct GrantedClaim {
    demand: f64,
    rate: f64,
    fallback: f64,
    claimed_at: Instant,
}

impl RateAllocator {
    /// Returns the share that `claim` of the host `host` gets, in a fleet of `hosts` hosts.
    pub fn share(
        &mut self,
        host: &Name,
        claim: &Claim,
        hosts: usize,
        authority: Authority,
        now: Instant,
    ) -> Share {
        self.leaves.retain(|_, leaf| leaf.expire(now));
        let leaf = self.leaves.entry(claim.leaf.clone()).or_default();
        leaf.claimed_at = Some(now);
        leaf.stated.merge(claim.stated);
        let stated = leaf.stated;
        let Some(limit) = stated.rate else {
            leaf.claims.clear();
            return Share {
                stated,
                ..Share::default()
            };
        };
        if claim.demand <= 0.0 {
            leaf.claims.remove(host);
            return Share {
                stated,
                ..Share::default()
            };
        }
        #[expect(clippy::cast_precision_loss, reason = "numbers of hosts are small")]
        let equal_part = limit / hosts.max(1) as f64;
        let rate = match leaf.grant(host, claim, limit, authority, now) {
            // Another allocator has granted no more than the limit to the hosts that were here
            // before, so hosts that are new or restarted add their equal parts at most.
            rate if authority == Authority::Unsettled => {
                rate.max(equal_part.min(limit - leaf.reserved_by_others(host, now)))
            }
            rate => rate,
        };
        let fallback = rate.min(equal_part);
        let granted = GrantedClaim {
            demand: claim.demand,
            rate,
            fallback,
            claimed_at: now,
        };
        leaf.claims.insert(host.clone(), granted);
        Share {
            rate,
            fallback,
            stated,
        }
    }
}

impl LeafClaims {
    /// Drops claims without a reserved share; returns whether the leaf is still of interest.
    fn expire(&mut self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RESERVE_TTL;
        self.claims.retain(|_, claim| is_recent(claim.claimed_at));
        self.claimed_at.is_some_and(is_recent)
    }

    /// Returns the requests per second that hosts other than `host` may still send.
    fn reserved_by_others(&self, host: &Name, now: Instant) -> f64 {
        let others = self.claims.iter().filter(|(name, _)| *name != host);
        others.map(|(_, claim)| claim.reserved(now)).sum()
    }

    fn grant(
        &self,
        host: &Name,
        claim: &Claim,
        limit: f64,
        authority: Authority,
        now: Instant,
    ) -> f64 {
        let reserved = self.reserved_by_others(host, now);
        let others = self.claims.iter().filter(|(name, claim)| {
            *name != host && now.saturating_duration_since(claim.claimed_at) < DEMAND_TTL
        });
        let demand = claim.demand + others.map(|(_, claim)| claim.demand).sum::<f64>();
        let most_shares = (limit / MIN_SHARE).floor().clamp(1.0, MAX_SHARES);
        let least = limit / most_shares;
        let wanted = (limit * claim.demand / demand).max(least);
        let allocated = match authority {
            Authority::Sole => limit,
            // The other allocator grants no more than the other half.
            Authority::Shared => limit / 2.0,
            Authority::Unsettled => 0.0,
        };
        let kept = claim.held.min(limit - reserved).min(wanted).max(0.0);
        let granted = wanted.min(allocated - reserved);
        if granted < least.min(allocated) {
            return kept;
        }
        granted.max(kept)
    }
}

impl GrantedClaim {
    /// Returns the requests per second that its host may still send.
    fn reserved(&self, now: Instant) -> f64 {
        if now.saturating_duration_since(self.claimed_at) < SHARE_TTL {
            self.rate
        } else {
            self.fallback
        }
    }
}
