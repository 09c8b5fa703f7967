//! The leaf of the next attempt, within the leaves' rate limits.

use {
    super::HedgedRequest,
    crate::{
        gateway::{
            metrics::AttemptReason,
            view::{LeafHandle, LimitCheck},
        },
        policy::leaf_selection,
        protocol::verdict::{Cause, Failure},
        state::rollouts::Selection,
    },
    std::{sync::Arc, time::Instant},
};

impl HedgedRequest {
    /// Handles an attempt for which no leaf can be used.
    pub(super) fn record_no_leaf(&mut self, index: usize, cause: Cause) {
        if cause == Cause::Overloaded {
            self.gateway
                .metrics
                .record_limited_attempt(AttemptReason::Denied);
            self.rejections += 1;
        }
        let service = &mut self.services[index];
        if service.pending.is_empty() {
            service.fail(Failure::not_run(cause), None);
        }
    }

    /// Chooses the leaf of the next attempt and takes the attempt from this host's share of
    /// its rate limit. Returns why there is none.
    pub(super) fn choose_leaf(&self, index: usize, now: Instant) -> Result<Arc<LeafHandle>, Cause> {
        let service = &self.services[index];
        let selection = self.gateway.select_versions(service.name());
        if let Some(leaf) = self.choose_on_trial(index, selection.as_ref(), now) {
            return Ok(leaf);
        }
        let mut leaves: Vec<&Arc<LeafHandle>> = service.untried_leaves().collect();
        retain_permitted(&mut leaves, service.leaves(), selection.as_ref());
        if leaves.is_empty() && service.pending.is_empty() {
            leaves = service.leaves().iter().collect();
            retain_permitted(&mut leaves, service.leaves(), selection.as_ref());
        }
        self.choose_among(index, leaves, now)
    }

    /// Chooses a leaf of the version on trial for some of the first attempts.
    fn choose_on_trial(
        &self,
        index: usize,
        selection: Option<&Selection>,
        now: Instant,
    ) -> Option<Arc<LeafHandle>> {
        let service = &self.services[index];
        if service.first_start.is_some() {
            return None;
        }
        let version = selection?.trial_version(rand::random())?;
        let leaves = service.leaves().iter();
        let leaves = leaves.filter(|leaf| leaf.leaf.version == *version);
        self.choose_among(index, leaves.collect(), now).ok()
    }

    fn choose_among(
        &self,
        index: usize,
        mut leaves: Vec<&Arc<LeafHandle>>,
        now: Instant,
    ) -> Result<Arc<LeafHandle>, Cause> {
        let service = &self.services[index];
        let rate = self.view.cold_rate(service.name());
        leaves.retain(|leaf| leaf.is_allowed(rate, now));
        if service.first_start.is_none()
            && let Some(leaf) = self.take_placed(&leaves, now)
        {
            return Ok(Arc::clone(leaf));
        }
        let near = &self.gateway.settings.domain;
        let mut candidates: Vec<leaf_selection::Candidate> = leaves
            .iter()
            .map(|leaf| leaf.candidate(near, now))
            .collect();
        let mut cause = Cause::Unreachable;
        while let Some(chosen) = leaf_selection::choose(&candidates, rand::random()) {
            candidates.swap_remove(chosen);
            let leaf = leaves.swap_remove(chosen);
            match leaf.take_from_limit(now) {
                LimitCheck::Unlimited | LimitCheck::WithinShare => return Ok(Arc::clone(leaf)),
                LimitCheck::UsedUp => {}
                LimitCheck::Unclaimed => {
                    self.gateway.limits.add(leaf);
                    self.gateway.limits.claim_now();
                }
            }
            cause = Cause::Overloaded;
        }
        Err(cause)
    }

    /// Returns the leaf at which the request has a place, if it is one of `leaves` and its rate
    /// limit has room.
    fn take_placed<'a>(
        &self,
        leaves: &[&'a Arc<LeafHandle>],
        now: Instant,
    ) -> Option<&'a Arc<LeafHandle>> {
        let placed = self.placed_leaf.as_ref()?;
        let leaf = leaves.iter().find(|leaf| leaf.leaf.id == *placed)?;
        let check = leaf.take_from_limit(now);
        matches!(check, LimitCheck::Unlimited | LimitCheck::WithinShare).then_some(*leaf)
    }
}

/// Keeps those of `leaves` whose version may get requests; `all` are the usable leaves of the
/// service.
fn retain_permitted(
    leaves: &mut Vec<&Arc<LeafHandle>>,
    all: &[Arc<LeafHandle>],
    selection: Option<&Selection>,
) {
    let Some(selection) = selection else { return };
    let target = selection.target();
    let has_target = all.iter().any(|leaf| Some(&leaf.leaf.version) == target);
    leaves.retain(|leaf| selection.permits(&leaf.leaf.version, has_target));
}
