//! Requests that must run at most once: each is sent to one leaf of one shard, and sent
//! again only if it certainly did not run.

use {
    super::{Entry, Job, may_resend, refusal, single_shard_coverage},
    crate::{
        collections::Name,
        coordination::placement::hash_weight,
        daemon::shared::View,
        protocol::{
            answer::{Answer, Refusal},
            verdict::{Cause, Failure},
        },
        state::catalog::LeafEntry,
        transport::store::Store,
    },
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

/// Delay before a request that did not run is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(20);

/// Failures of the store after which the request is rejected. An early rejection leaves the
/// caller time for something else.
const MAX_STORE_FAILURES: u32 = 3;

impl<S: Store> Entry<S> {
    /// Runs a request with an idempotency key. It is sent again only while it certainly did
    /// not run.
    pub(super) async fn run_idempotent(
        &self,
        job: &Job,
        view: &Arc<View>,
        key: &Name,
    ) -> Result<Answer, Refusal> {
        let mut view = Arc::clone(view);
        let mut last = Failure::not_run(Cause::NoOwner);
        let mut store_failures = 0;
        while Instant::now() < job.deadline {
            match self.idempotent_leaf(job, &view, key) {
                Ok(leaf) => {
                    let reply = self.send_to_leaf(job, &view, &leaf, 0, job.deadline).await;
                    match reply.outcome {
                        Ok(rows) => {
                            return Ok(Answer {
                                request: job.query.request.clone(),
                                snapshot: rows.snapshot,
                                coverage: single_shard_coverage(),
                                rows: vec![rows.json],
                            });
                        }
                        Err(failure) => last = failure,
                    }
                }
                Err(failure) => last = failure,
            }
            if last.cause == Cause::Store {
                store_failures += 1;
                let is_late = Instant::now() + job.timeout / 2 >= job.deadline;
                if store_failures == MAX_STORE_FAILURES || is_late {
                    break;
                }
            }
            if !may_resend(last) {
                break;
            }
            tokio::time::sleep(RESEND_DELAY).await;
            view = self.shared.view();
        }
        Err(refusal(&job.query, last))
    }

    /// Returns the leaf for a key. All entry hosts choose the same one while its failure
    /// domain and target are in service.
    fn idempotent_leaf(
        &self,
        job: &Job,
        view: &View,
        key: &Name,
    ) -> Result<Arc<LeafEntry>, Failure> {
        let service = view
            .catalog
            .services
            .get(&job.query.service)
            .ok_or(Failure::not_run(Cause::Layout))?;
        let shards = service.shards.len() as u64;
        let shard = usize::try_from(hash_weight(&job.query.service, key) % shards).unwrap_or(0);
        let mut why = Failure::not_run(Cause::NoOwner);
        let mut replicas: Vec<&Arc<LeafEntry>> = service.shards[shard].iter().collect();
        replicas.sort_by_key(|leaf| std::cmp::Reverse(hash_weight(&leaf.target, key)));
        let ranked: Vec<Arc<LeafEntry>> = replicas.into_iter().cloned().collect();
        let healthy = ranked.iter().find(|leaf| {
            if let Some(cause) = self.shared.out_of_service(leaf) {
                why = Failure::not_run(cause);
                return false;
            }
            !self.shared.health.is_backed_off(leaf.id)
        });
        let fallback = || {
            ranked
                .iter()
                .find(|leaf| self.shared.out_of_service(leaf).is_none())
        };
        healthy.or_else(fallback).cloned().ok_or(why)
    }
}
