//! Claims for shares of the rate limits of leaves, between hosts.

use {
    crate::{
        clock::millis,
        collections::Name,
        protocol::generated::{
            LimitClaim, LimitShare, LimitsReply, LimitsRequest, StatedLimit as WireLimit,
        },
        state::{
            leaf_limit::{Share, StatedLimit},
            rate_allocator::Claim,
        },
    },
    std::time::{Duration, Instant},
};

/// Allocates the rate limits of leaves for other hosts.
pub trait LimitService: Send + Sync + 'static {
    /// Returns the share that each of `claims` of the host `host` gets; empty when this host
    /// does not allocate the limits of these leaves.
    fn share_limits(&self, host: &Name, claims: Vec<Claim>) -> Vec<Share>;
}

/// Encodes claims of the host `host`.
pub(super) fn encode_claims(host: &Name, claims: &[Claim]) -> LimitsRequest {
    let claims = claims.iter().map(|claim| LimitClaim {
        leaf: claim.leaf.to_string(),
        stated: Some(encode_limit(claim.stated)),
        demand: claim.demand,
        held: claim.held,
    });
    LimitsRequest {
        host: host.to_string(),
        claims: claims.collect(),
    }
}

/// Decodes the host and the claims of a request.
pub(super) fn decode_claims(request: LimitsRequest) -> (Name, Vec<Claim>) {
    let claims = request.claims.into_iter().map(|claim| Claim {
        leaf: claim.leaf.into(),
        stated: decode_limit(claim.stated),
        demand: decode_rate(claim.demand),
        held: decode_rate(claim.held),
    });
    (request.host.into(), claims.collect())
}

/// Encodes shares.
pub(super) fn encode_shares(shares: &[Share]) -> LimitsReply {
    let shares = shares.iter().map(|share| LimitShare {
        rate: share.rate,
        fallback: share.fallback,
        stated: Some(encode_limit(share.stated)),
    });
    LimitsReply {
        shares: shares.collect(),
    }
}

/// Decodes shares.
pub(super) fn decode_shares(reply: LimitsReply) -> Vec<Share> {
    let shares = reply.shares.into_iter().map(|share| Share {
        rate: decode_rate(share.rate),
        fallback: decode_rate(share.fallback),
        stated: decode_limit(share.stated),
    });
    shares.collect()
}

fn encode_limit(limit: StatedLimit) -> WireLimit {
    let age = limit.as_of.map_or(Duration::MAX, |as_of| as_of.elapsed());
    WireLimit {
        rate: limit.rate,
        age_ms: millis(age),
    }
}

fn decode_limit(limit: Option<WireLimit>) -> StatedLimit {
    let Some(limit) = limit else {
        return StatedLimit::default();
    };
    StatedLimit {
        rate: limit.rate.map(decode_rate),
        as_of: Instant::now().checked_sub(Duration::from_millis(limit.age_ms)),
    }
}

/// Returns `rate`, or 0 where it is not a rate.
fn decode_rate(rate: f64) -> f64 {
    if rate.is_finite() { rate.max(0.0) } else { 0.0 }
}
