//! Canary: a request that no target has run yet is sent to one leaf first, so that a
//! request that crashes targets can't crash all of them at once.

use {
    super::{Entry, Gather, Job, refusal},
    crate::{
        daemon::shared::View,
        protocol::{
            answer::Refusal,
            verdict::{Cause, Failure, Verdict},
        },
        state::{catalog::LeafEntry, quarantine::RequestSafety},
        transport::store::Store,
    },
    std::sync::Arc,
    tokio::time::Instant,
};

/// Most leaves that a canary is sent to, one after the other, until one runs it.
const MAX_ATTEMPTS: usize = 4;

/// Divisor of the query's timeout for the time that one attempt may take.
const ATTEMPT_TIME_DIVISOR: u32 = 4;

/// Attempts without a reply that may have run, after which no more leaves are tried: the
/// request may still crash the target of each.
const MAX_UNANSWERED: u32 = 2;

impl<S: Store> Entry<S> {
    /// Sends an unknown request to one leaf and adds its rows to `gather`.
    pub(super) async fn run_canary(
        &self,
        job: &Job,
        view: &Arc<View>,
        gather: &mut Gather,
    ) -> Result<(), Refusal> {
        let crashed = match self.shared.quarantine.safety(job.fingerprint) {
            RequestSafety::Safe => return Ok(()),
            RequestSafety::Unknown(crashed) => crashed,
            RequestSafety::Quarantined => {
                return Err(refusal(&job.query, Failure::not_run(Cause::Quarantined)));
            }
        };
        let mut last = Failure::not_run(Cause::NoOwner);
        let mut unanswered = 0;
        for leaf in self.canary_leaves(job, gather, &crashed) {
            if Instant::now() >= job.deadline {
                break;
            }
            gather.record_attempt(&leaf);
            let by = job
                .deadline
                .min(Instant::now() + job.timeout / ATTEMPT_TIME_DIVISOR);
            let reply = self
                .send_to_leaf(job, view, &leaf, gather.snapshot(), by)
                .await;
            let Some(failure) = gather.record_reply(&leaf, &reply) else {
                return Ok(());
            };
            match failure.cause {
                Cause::Crashed | Cause::Quarantined | Cause::Malformed => {
                    return Err(refusal(&job.query, failure));
                }
                _ => last = failure,
            }
            unanswered += u32::from(failure.verdict == Verdict::MayHaveRun);
            if unanswered == MAX_UNANSWERED {
                break;
            }
        }
        // No attempt was possible or none succeeded. Sending the request to all shards now
        // could crash all of their targets.
        gather.close_open_shards(last.cause);
        Ok(())
    }

    /// Returns the leaves to try, in the same order at every entry host, so that one owner
    /// receives all canaries of a request.
    fn canary_leaves(
        &self,
        job: &Job,
        gather: &Gather,
        crashed: &[crate::collections::Name],
    ) -> Vec<Arc<LeafEntry>> {
        let mut leaves: Vec<&Arc<LeafEntry>> = gather
            .all_leaves()
            .filter(|leaf| !crashed.contains(&leaf.target))
            .filter(|leaf| self.shared.out_of_service(leaf).is_none())
            .collect();
        leaves
            .sort_by_key(|leaf| (leaf.id.0 ^ job.fingerprint).wrapping_mul(0x9E37_79B9_7F4A_7C15));
        // Only the first two may swap: entry hosts differ in the slow leaves that they know
        // of, and must not send a request that crashes targets to more than two targets at
        // once.
        if let [first, second, ..] = &leaves[..]
            && self.shared.health.has_backoff(first.id)
            && !self.shared.health.has_backoff(second.id)
        {
            leaves.swap(0, 1);
        }
        leaves.into_iter().take(MAX_ATTEMPTS).cloned().collect()
    }
}
