//! Queries of callers: each is sent to one leaf of every shard through the leaves' owners,
//! and the replies are merged into one response.

use {
    crate::{
        clock::{Millis, millis, unix_ms},
        collections::Name,
        daemon::shared::{ServiceState, Shared, View},
        owner::Owner,
        protocol::{
            answer::{Answer, Coverage, Refusal},
            message::{Batch, LeafReply},
            verdict::{Cause, Failure, Verdict},
        },
        state::{
            catalog::{LeafEntry, LeafId, ServiceEntry, fingerprint},
            quarantine::RequestSafety,
        },
        transport::{peers::Peers, store::Store},
    },
    bytes::Bytes,
    futures_util::{StreamExt, stream::BoxStream},
    std::{sync::Arc, time::Duration},
    tokio::time::Instant,
};

mod canary;
mod gather;
mod idempotent;
pub mod limiter;
mod plan;

use self::gather::Gather;

/// Divisor of a query's timeout for the part kept for merging and sending the response.
const MERGE_TIME_DIVISOR: u32 = 50;

/// Most restarts of a whole query on another snapshot or layout.
const MAX_RESTARTS: u32 = 2;

/// Delay before a query restarts.
const RESTART_DELAY: Duration = Duration::from_millis(5);

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Query {
    /// Service that the query is for.
    pub service: Name,
    /// Request id.
    pub request: Name,
    /// Timeout that the caller set; `None` for the service's default.
    pub deadline: Option<Duration>,
    /// Idempotency key of a request that must run at most once.
    pub key: Option<Name>,
    /// Request body for the targets.
    pub body: Bytes,
}

/// Runs callers' queries.
pub struct Entry<S> {
    shared: Arc<Shared>,
    owner: Arc<Owner<S>>,
    peers: Arc<Peers>,
}

/// A query in progress, with what stays the same over restarts and retries.
struct Job {
    query: Query,
    state: Arc<ServiceState>,
    fingerprint: u64,
    deadline: Instant,
    timeout: Duration,
}

impl Job {
    fn new_batch(&self, view: &View, layout: u32, snapshot: u64, leaves: Vec<LeafId>) -> Batch {
        let left = self.deadline.saturating_duration_since(Instant::now());
        Batch {
            service: self.query.service.clone(),
            layout,
            revision: view.catalog.revision,
            epoch: view.list.epoch,
            snapshot,
            deadline_ms: unix_ms() + millis(left),
            request: self.query.request.clone(),
            fingerprint: self.fingerprint,
            key: self.query.key.clone(),
            canary: false,
            body: self.query.body.clone(),
            leaves,
        }
    }
}

impl<S: Store> Entry<S> {
    /// Returns the entry part of a daemon.
    #[must_use]
    pub fn new(shared: Arc<Shared>, owner: Arc<Owner<S>>, peers: Arc<Peers>) -> Self {
        Self {
            shared,
            owner,
            peers,
        }
    }

    /// Runs a query and returns its response.
    ///
    /// # Errors
    ///
    /// Returns a rejection whose verdict states whether a target ran or may have run the
    /// request.
    pub async fn answer(&self, query: Query) -> Result<Answer, Refusal> {
        let started = Instant::now();
        let view = self.shared.view();
        let service = service_entry(&view, &query)?;
        let deadlines = service.service.deadlines;
        let timeout = query.deadline.unwrap_or(deadlines.default_time());
        if millis(timeout) > deadlines.longest_ms {
            let detail = format!(
                "deadline of {} ms is too long; use 1 to {}",
                millis(timeout),
                deadlines.longest_ms
            );
            return Err(Refusal::bad(&query.request, detail));
        }
        if !service.service.idempotent && query.key.is_none() {
            let detail = "idempotency-key is missing; this service needs one";
            return Err(Refusal::bad(&query.request, detail));
        }
        let state = self.shared.service(&service.service);
        let Some(_admission) = state.limiter.admit() else {
            return Err(refusal(&query, Failure::not_run(Cause::Overloaded)));
        };
        let job = Job {
            fingerprint: fingerprint(&query.service, &query.body),
            query,
            state,
            deadline: self
                .shared
                .limit_deadline(started + timeout - timeout / MERGE_TIME_DIVISOR),
            timeout,
        };
        if self.shared.quarantine.safety(job.fingerprint) == RequestSafety::Quarantined {
            return Err(refusal(&job.query, Failure::not_run(Cause::Quarantined)));
        }
        match &job.query.key {
            Some(key) => self.run_idempotent(&job, &view, key).await,
            None => self.run_query(&job).await,
        }
    }

    /// Runs a query. Restarts it as a whole when some shards no longer have the snapshot or
    /// layout that it pinned.
    async fn run_query(&self, job: &Job) -> Result<Answer, Refusal> {
        let mut snapshot = self
            .shared
            .versions
            .choose_snapshot(&job.query.service, Millis::now())
            .unwrap_or(0);
        let mut restarts = 0;
        // The verdict of a rejection also covers what earlier runs of the query may have
        // run.
        let mut verdict = Verdict::NotRun;
        loop {
            let view = self.shared.view();
            let service =
                service_entry(&view, &job.query).map_err(|refusal| refusal.at_least(verdict))?;
            let mut gather = Gather::new(service, snapshot);
            if service.service.canary {
                let canary = self.run_canary(job, &view, &mut gather).await;
                verdict = verdict.max(gather.verdict());
                canary.map_err(|refusal| refusal.at_least(verdict))?;
            }
            self.fan_out(job, &view, &mut gather).await;
            verdict = verdict.max(gather.verdict());
            let is_final = !gather.is_outdated() || restarts >= MAX_RESTARTS;
            if is_final || Instant::now() >= job.deadline {
                let result = self.finish_query(job, gather);
                return result.map_err(|refusal| refusal.at_least(verdict));
            }
            restarts += 1;
            self.shared.metrics.restarts.inc();
            snapshot = gather.better_snapshot().unwrap_or(snapshot);
            // A newer declaration may reach this daemon in the meantime.
            tokio::time::sleep(RESTART_DELAY).await;
        }
    }

    fn finish_query(&self, job: &Job, gather: Gather) -> Result<Answer, Refusal> {
        let coverage = gather.coverage();
        job.state
            .limiter
            .record_queue_time(gather.longest_queue(), job.timeout);
        if gather.was_overloaded() {
            job.state.limiter.record_overload();
        }
        for missing in &coverage.missing {
            self.shared.metrics.missing(missing.cause);
        }
        if coverage.answered == 0
            && let Some(failure) = gather.common_failure()
        {
            return Err(refusal(&job.query, failure));
        }
        Ok(Answer {
            request: job.query.request.clone(),
            snapshot: gather.snapshot(),
            coverage,
            rows: gather.into_rows(),
        })
    }

    /// Sends a batch to an owner; `None` is this daemon.
    fn dispatch(&self, owner: Option<Name>, batch: Batch) -> BoxStream<'static, LeafReply> {
        match owner {
            None => self.owner.run(batch).boxed(),
            Some(id) => self.peers.execute(&id, batch),
        }
    }

    /// Sends the request to one leaf and waits for its reply until `by`.
    async fn send_to_leaf(
        &self,
        job: &Job,
        view: &View,
        leaf: &LeafEntry,
        snapshot: u64,
        by: Instant,
    ) -> LeafReply {
        let failed = |failure| LeafReply {
            leaf: leaf.id,
            outcome: Err(failure),
            range: None,
            queued_us: 0,
        };
        let owner = match self.shared.owner(view, leaf.id) {
            Ok(owner) => owner,
            Err(failure) => return failed(failure),
        };
        let mut batch = job.new_batch(view, leaf.service.layout, snapshot, vec![leaf.id]);
        batch.canary = batch.key.is_none();
        let mut replies = self.dispatch(owner, batch);
        match tokio::time::timeout_at(by, replies.next()).await {
            Ok(Some(reply)) => {
                self.record_outcome(job, leaf, &reply);
                reply
            }
            // The target may have received the request although no reply has arrived.
            Ok(None) | Err(_) => failed(Failure::may_have_run(Cause::Deadline)),
        }
    }

    /// Records the leaf's health and whether its target crashed on the request.
    fn record_outcome(&self, job: &Job, leaf: &LeafEntry, reply: &LeafReply) {
        match &reply.outcome {
            Ok(_) => self.shared.quarantine.mark_safe(job.fingerprint),
            Err(failure) => {
                if failure.cause == Cause::Crashed {
                    self.shared
                        .quarantine
                        .record_crash(job.fingerprint, &leaf.target);
                }
                self.shared.health.record_failure(leaf.id, failure.cause);
            }
        }
    }
}

fn service_entry<'a>(view: &'a View, query: &Query) -> Result<&'a ServiceEntry, Refusal> {
    if view.catalog.revision == 0 {
        return Err(refusal(query, Failure::not_run(Cause::Store)));
    }
    view.catalog
        .services
        .get(&query.service)
        .ok_or_else(|| Refusal {
            status: 404,
            title: "unknown_service",
            ..Refusal::bad(
                &query.request,
                format!("{} is not a declared service", query.service),
            )
        })
}

fn refusal(query: &Query, failure: Failure) -> Refusal {
    Refusal::new(&query.request, failure.verdict, failure.cause)
}

/// Returns the coverage of a response from the only shard that a request with an
/// idempotency key is sent to.
fn single_shard_coverage() -> Coverage {
    Coverage {
        answered: 1,
        total: 1,
        missing: Vec::new(),
    }
}

/// Returns whether a request may be sent again after `failure`, to another replica or
/// owner, even if it must run at most once.
fn may_resend(failure: Failure) -> bool {
    failure.verdict == Verdict::NotRun
        && !matches!(
            failure.cause,
            Cause::Quarantined | Cause::Malformed | Cause::Repeated | Cause::Deadline
        )
}
