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
        let mut leaves: Vec<&Arc<LeafHandle>> = service.untried_leaves().collect();
        if leaves.is_empty() && service.pending.is_empty() {
            leaves = service.leaves().iter().collect();
        }
        let rate = self.view.cold_rate(service.name());
        leaves.retain(|leaf| leaf.is_allowed(rate, now));
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
}
