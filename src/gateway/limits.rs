//! Sharing of the rate limits that leaves state: claims this host's shares from their
//! allocators, and allocates the limits of some leaves for all hosts.

use {
    super::{
        Gateway,
        helpers::HelperHandle,
        view::{LeafHandle, View, lock},
    },
    crate::{
        clock::Millis,
        collections::{Map, Name},
        policy::limit_sharing::{self, CLAIM_TIMEOUT},
        state::{
            leaf_limit::{CLAIM_INTERVAL, Share},
            rate_allocator::{Claim, RateAllocator},
        },
        transport::fleet::LimitService,
    },
    futures_util::future::join_all,
    slog::info,
    std::{
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{
        sync::Notify,
        time::{sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
};

/// Shortest time between two rounds of claims: leaves that become limited together are
/// claimed together.
const MIN_ROUND_TIME: Duration = Duration::from_millis(50);

/// The rate limits that this host knows of, and those that it allocates.
#[derive(Default)]
pub struct LimitSharing {
    /// Leaves that state a limit.
    leaves: Mutex<Map<Name, Arc<LeafHandle>>>,
    claim_due: Notify,
    allocator: Mutex<RateAllocator>,
}

impl LimitSharing {
    /// Records that `leaf` states a rate limit.
    pub fn add(&self, leaf: &Arc<LeafHandle>) {
        lock(&self.leaves).insert(leaf.leaf.id.clone(), Arc::clone(leaf));
    }

    /// Makes the claims that are due without waiting for the next round.
    pub fn claim_now(&self) {
        self.claim_due.notify_one();
    }

    /// Returns the leaves of `view` that still state a limit, and forgets the others.
    fn limited_leaves(&self, view: &View) -> Vec<Arc<LeafHandle>> {
        let mut leaves = lock(&self.leaves);
        leaves.retain(|_, leaf| leaf.rate_limit().is_some() && view.has_leaf(leaf));
        leaves.values().cloned().collect()
    }
}

/// A claim that is due, with its leaf.
struct DueClaim {
    leaf: Arc<LeafHandle>,
    claim: Claim,
}

/// Claims shares until `stop`.
pub async fn claim_shares(gateway: Arc<Gateway>, stop: CancellationToken) {
    while !stop.is_cancelled() {
        let is_idle = lock(&gateway.limits.leaves).is_empty();
        tokio::select! {
            () = stop.cancelled() => return,
            () = gateway.limits.claim_due.notified() => {}
            () = sleep(CLAIM_INTERVAL), if !is_idle => {}
        }
        claim_due_shares(&gateway).await;
        sleep(MIN_ROUND_TIME).await;
    }
}

async fn claim_due_shares(gateway: &Arc<Gateway>) {
    let view = gateway.view();
    let now = Instant::now();
    let own = &gateway.settings.id;
    let mut by_allocator: Map<Name, Vec<DueClaim>> = Map::default();
    for leaf in gateway.limits.limited_leaves(&view) {
        let Some(claim) = leaf.start_claim(now) else {
            continue;
        };
        let allocator = limit_sharing::choose_allocator(&leaf.leaf.id, view.helpers.ids());
        by_allocator
            .entry(allocator.unwrap_or(own).clone())
            .or_default()
            .push(DueClaim { leaf, claim });
    }
    let rounds = by_allocator.into_iter().map(async |(allocator, due)| {
        let claims: Vec<Claim> = due.iter().map(|due| due.claim.clone()).collect();
        let shares = if allocator == *own {
            gateway.allocate(own, &claims)
        } else {
            claim_from(gateway, view.helpers.get(&allocator), &claims).await
        };
        for (due, share) in due.iter().zip(shares) {
            apply_share(gateway, &due.leaf, &share, now);
        }
    });
    join_all(rounds).await;
}

/// Claims shares from another host. Returns none when it does not respond or is not the
/// allocator in its own view.
async fn claim_from(
    gateway: &Gateway,
    allocator: Option<&Arc<HelperHandle>>,
    claims: &[Claim],
) -> Vec<Share> {
    let Some(allocator) = allocator else {
        return Vec::new();
    };
    let call = allocator.channel.claim_limits(&gateway.settings.id, claims);
    let reason = match timeout(CLAIM_TIMEOUT, call).await {
        Ok(Ok(shares)) if shares.len() == claims.len() => return shares,
        Ok(Ok(_)) => "it is not the allocator".to_owned(),
        Ok(Err(reason)) => reason,
        Err(_) => "no reply in time".to_owned(),
    };
    gateway.metrics.failed_claims.inc();
    info!(gateway.log, "limits: claim failed"; "host" => &*allocator.id,
        "leaves" => claims.len(), "reason" => reason);
    Vec::new()
}

fn apply_share(gateway: &Gateway, leaf: &LeafHandle, share: &Share, claimed_at: Instant) {
    let (before, limit) = leaf.apply_share(share, claimed_at, Instant::now());
    if (before > 0.0) != (share.rate > 0.0) || limit.is_none() {
        info!(gateway.log, "limits: share changed"; "leaf" => &*leaf.leaf.id,
            "per_s" => share.rate, "before" => before, "limit" => limit);
    }
}

impl Gateway {
    /// Returns the shares that `claims` of the host `host` get from this host.
    fn allocate(&self, host: &Name, claims: &[Claim]) -> Vec<Share> {
        let view = self.view();
        let now = Instant::now();
        let copy_age = self.registry_copy.sync_status(Millis::now()).age;
        let authority = limit_sharing::authority(view.helpers.unchanged_for(now), copy_age);
        let mut allocator = lock(&self.limits.allocator);
        let shares = claims
            .iter()
            .map(|claim| allocator.share(host, claim, view.hosts, authority, now));
        shares.collect()
    }
}

/// Allocates limits for other hosts.
pub struct LimitServer(pub Arc<Gateway>);

impl LimitService for LimitServer {
    fn share_limits(&self, host: &Name, claims: Vec<Claim>) -> Vec<Share> {
        let view = self.0.view();
        let own = &self.0.settings.id;
        let is_allocator = |claim: &Claim| {
            limit_sharing::choose_allocator(&claim.leaf, view.helpers.ids()) == Some(own)
        };
        if claims.iter().all(is_allocator) {
            self.0.allocate(host, &claims)
        } else {
            Vec::new()
        }
    }
}
