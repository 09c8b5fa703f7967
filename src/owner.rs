//! Owner of leaves: the only daemon that sends requests to them.

use {
    crate::{
        clock::unix_ms,
        collections::Map,
        daemon::shared::Shared,
        declaration::DEADLINE_LIMIT_MS,
        protocol::{
            message::{Batch, LeafReply, Rows, Suspect},
            verdict::{Cause, Failure, Verdict},
        },
        state::{
            catalog::{LeafEntry, LeafId},
            leaves::Permit,
            quarantine::RequestSafety,
        },
        transport::{
            store::Store,
            targets::{LeafOutcome, LeafRequest},
        },
    },
    futures_util::{Stream, stream::FuturesUnordered},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{Mutex as AsyncMutex, mpsc},
        time::Instant,
    },
};

pub mod claims;

use self::claims::Claims;

/// Runs batches on the leaves that this daemon owns.
pub struct Owner<S> {
    shared: Arc<Shared>,
    claims: Claims<S>,
    canaries: Mutex<Map<u64, Arc<AsyncMutex<()>>>>,
    suspects: mpsc::UnboundedSender<Suspect>,
}

impl<S: Store> Owner<S> {
    /// Returns the owner part of a daemon. Requests that crash targets are sent to
    /// `suspects`.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        store: Arc<S>,
        suspects: mpsc::UnboundedSender<Suspect>,
    ) -> Self {
        let claims = Claims::new(store, shared.settings.cluster.clone());
        Self {
            shared,
            claims,
            canaries: Mutex::default(),
            suspects,
        }
    }

    /// Runs a batch. Replies come in the order in which the leaves reply. Dropping the
    /// stream cancels the attempts that are still in flight.
    pub fn run(self: &Arc<Self>, batch: Batch) -> impl Stream<Item = LeafReply> + use<S> {
        let batch = Arc::new(batch);
        let leaves: FuturesUnordered<_> = batch
            .leaves
            .iter()
            .map(|leaf| {
                let (owner, batch, leaf) = (Arc::clone(self), Arc::clone(&batch), *leaf);
                async move { owner.run_leaf(&batch, leaf).await }
            })
            .collect();
        leaves
    }

    async fn run_leaf(&self, batch: &Batch, id: LeafId) -> LeafReply {
        let started = Instant::now();
        let mut queued = Duration::ZERO;
        let outcome = self.run_request(batch, id, started, &mut queued).await;
        LeafReply {
            leaf: id,
            outcome,
            range: self.shared.leaves.version_range(id),
            queued_us: u32::try_from(queued.as_micros()).unwrap_or(u32::MAX),
        }
    }

    async fn run_request(
        &self,
        batch: &Batch,
        id: LeafId,
        started: Instant,
        queued: &mut Duration,
    ) -> Result<Rows, Failure> {
        let leaf = self.find_leaf(batch, id)?;
        let deadline = started + time_left(batch.deadline_ms);
        let _turn = self.canary_turn(batch).await;
        self.check_quarantine(batch, &leaf)?;
        let Some(key) = &batch.key else {
            return self
                .send_when_admitted(batch, &leaf, deadline, queued)
                .await;
        };
        self.claims
            .claim(&leaf, key, claim_deadline(deadline))
            .await?;
        let outcome = self
            .send_when_admitted(batch, &leaf, deadline, queued)
            .await;
        if outcome
            .as_ref()
            .is_err_and(|failure| failure.verdict == Verdict::NotRun)
        {
            self.claims.record_unsent(&leaf, key);
        }
        outcome
    }

    async fn send_when_admitted(
        &self,
        batch: &Batch,
        leaf: &LeafEntry,
        deadline: Instant,
        queued: &mut Duration,
    ) -> Result<Rows, Failure> {
        let started = Instant::now();
        let permit = self.shared.leaves.acquire_slot(leaf, deadline).await?;
        *queued = started.elapsed();
        self.send(batch, leaf, permit, deadline).await
    }

    /// Returns the leaf if this daemon owns it, it is in service, and its layout is the one
    /// that the batch was planned for.
    fn find_leaf(&self, batch: &Batch, id: LeafId) -> Result<Arc<LeafEntry>, Failure> {
        let view = self.shared.view();
        let Some(leaf) = view.catalog.leaves.get(&id) else {
            return Err(Failure::not_run(Cause::Layout));
        };
        if leaf.service.layout != batch.layout {
            return Err(Failure::not_run(Cause::Layout));
        }
        if let Some(cause) = self.shared.out_of_service(leaf) {
            return Err(Failure::not_run(cause));
        }
        match self.shared.owner(&view, id)? {
            None => Ok(Arc::clone(leaf)),
            Some(_) => Err(Failure::not_run(Cause::NotOwner)),
        }
    }

    /// Waits until no other canary of the request is in flight, whichever entry host sent
    /// it; `None` if the batch is no canary.
    async fn canary_turn(&self, batch: &Batch) -> Option<CanaryTurn> {
        if !batch.canary {
            return None;
        }
        let turn = {
            let mut canaries = self.canaries.lock().unwrap_or_else(PoisonError::into_inner);
            // An entry whose only reference is the map's has no holder and no waiter.
            canaries.retain(|_, turn| Arc::strong_count(turn) > 1);
            Arc::clone(canaries.entry(batch.fingerprint).or_default())
        };
        Some(turn.lock_owned().await)
    }

    fn check_quarantine(&self, batch: &Batch, leaf: &LeafEntry) -> Result<(), Failure> {
        match self.shared.quarantine.safety(batch.fingerprint) {
            RequestSafety::Quarantined => Err(Failure::not_run(Cause::Quarantined)),
            RequestSafety::Unknown(crashed) if crashed.contains(&leaf.target) => {
                Err(Failure::not_run(Cause::Quarantined))
            }
            RequestSafety::Unknown(_) | RequestSafety::Safe => Ok(()),
        }
    }

    async fn send(
        &self,
        batch: &Batch,
        leaf: &LeafEntry,
        permit: Permit,
        deadline: Instant,
    ) -> Result<Rows, Failure> {
        let request = LeafRequest {
            snapshot: batch.snapshot,
            request: batch.request.clone(),
            key: batch.key.clone(),
            body: batch.body.clone(),
        };
        // The target must have stopped by the time another daemon may own the leaf.
        let end = deadline.min(self.shared.lease_end());
        let may_send = || self.shared.may_send(leaf.id);
        self.shared.metrics.sent.inc();
        let outcome = self
            .shared
            .targets
            .send(leaf, &request, permit, end, may_send)
            .await;
        self.record_outcome(batch, leaf, &outcome);
        if !self.shared.leaves.gate_status(leaf).open {
            // The next owner needs the connections, whose number the leaf limits.
            self.shared.targets.forget(leaf.id);
        }
        self.check_snapshot(batch, outcome)
    }

    fn record_outcome(&self, batch: &Batch, leaf: &LeafEntry, outcome: &LeafOutcome) {
        if outcome.restarted {
            self.shared.leaves.reset_ramp(leaf);
            self.shared.targets.forget(leaf.id);
        }
        match (&outcome.status, &outcome.result) {
            (Some(status), Ok(_)) => self.shared.leaves.record_reply(leaf, status, outcome.took),
            (Some(status), Err(_)) => self.shared.leaves.record_status(leaf, status),
            (None, _) => {}
        }
        match outcome.result {
            Ok(_) => self.shared.quarantine.mark_safe(batch.fingerprint),
            Err(Failure {
                cause: Cause::Crashed,
                ..
            }) => {
                let accused = self
                    .shared
                    .quarantine
                    .record_crash(batch.fingerprint, &leaf.target);
                if let Some(suspect) = accused {
                    slog::warn!(self.shared.log, "owner: target crashed while it ran a request";
                        "target" => &*leaf.target, "request" => &*batch.request,
                        "targets_crashed" => suspect.targets.len());
                    let _ = self.suspects.send(suspect);
                }
            }
            Err(_) => {}
        }
    }

    /// Discards rows of another snapshot than the pinned one.
    fn check_snapshot(&self, batch: &Batch, outcome: LeafOutcome) -> Result<Rows, Failure> {
        let rows = outcome.result?;
        if batch.snapshot != 0 && rows.snapshot != batch.snapshot {
            self.shared.metrics.discarded.inc();
            return Err(Failure {
                verdict: Verdict::Ran,
                cause: Cause::Version,
            });
        }
        Ok(rows)
    }
}

type CanaryTurn = tokio::sync::OwnedMutexGuard<()>;

/// Returns the time by which a claim must be granted. Half of the time left stays for the
/// request itself, or for a rejection with the right verdict to reach the caller.
fn claim_deadline(deadline: Instant) -> Instant {
    let now = Instant::now();
    now + deadline.saturating_duration_since(now) / 2
}

/// Returns the time until a deadline in milliseconds since the Unix epoch, at most the
/// longest that a declaration can allow.
fn time_left(deadline_ms: u64) -> Duration {
    let left = deadline_ms.saturating_sub(unix_ms());
    Duration::from_millis(left.min(DEADLINE_LIMIT_MS))
}
