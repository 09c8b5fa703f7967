//! Merging of a query's replies: the rows of each shard, all from one snapshot, or the
//! cause for which they are missing.

use {
    crate::{
        collections::{Map, Set},
        declaration::Service,
        protocol::{
            answer::{Coverage, Missing},
            message::LeafReply,
            verdict::{Cause, Failure, Verdict},
        },
        state::{
            catalog::{LeafEntry, LeafId, ServiceEntry},
            versions::{VersionRange, newest_common_version},
        },
    },
    bytes::Bytes,
    std::{sync::Arc, time::Duration},
};

/// State of one shard.
#[derive(Clone, Debug)]
enum ShardState {
    /// No rows yet; the number is that of the attempts without a reply.
    Open(u32),
    /// Its rows have arrived.
    Answered(Bytes),
    /// It is not in the response, for this cause.
    Missing(Cause),
}

/// Response to one query while its replies arrive.
///
/// The first reply with rows among a shard's replicas counts, and no later one. Rows of a
/// snapshot other than the pinned one are discarded.
pub(super) struct Gather {
    service: Arc<Service>,
    replicas: Vec<Vec<Arc<LeafEntry>>>,
    leaves: Map<LeafId, Arc<LeafEntry>>,
    shards: Vec<ShardState>,
    snapshot: u64,
    attempted: Set<LeafId>,
    open: usize,
    answered: u32,
    ranges: Vec<(VersionRange, u32)>,
    longest_queue: Duration,
    was_overloaded: bool,
    verdict: Verdict,
}

impl Gather {
    pub(super) fn new(service: &ServiceEntry, snapshot: u64) -> Self {
        let leaves = service.shards.iter().flatten();
        Self {
            service: Arc::clone(&service.service),
            leaves: leaves.map(|leaf| (leaf.id, Arc::clone(leaf))).collect(),
            replicas: service.shards.clone(),
            shards: vec![ShardState::Open(0); service.shards.len()],
            snapshot,
            attempted: Set::default(),
            open: service.shards.len(),
            answered: 0,
            ranges: Vec::new(),
            longest_queue: Duration::ZERO,
            was_overloaded: false,
            verdict: Verdict::NotRun,
        }
    }

    pub(super) fn service(&self) -> &Arc<Service> {
        &self.service
    }

    pub(super) fn snapshot(&self) -> u64 {
        self.snapshot
    }

    pub(super) fn answered(&self) -> u32 {
        self.answered
    }

    pub(super) fn replicas(&self, shard: u32) -> &[Arc<LeafEntry>] {
        &self.replicas[shard as usize]
    }

    pub(super) fn all_leaves(&self) -> impl Iterator<Item = &Arc<LeafEntry>> {
        self.replicas.iter().flatten()
    }

    pub(super) fn leaf(&self, leaf: LeafId) -> Option<Arc<LeafEntry>> {
        self.leaves.get(&leaf).cloned()
    }

    pub(super) fn was_attempted(&self, leaf: LeafId) -> bool {
        self.attempted.contains(&leaf)
    }

    /// Returns whether an attempt at this shard has no reply yet.
    pub(super) fn has_pending_attempt(&self, shard: u32) -> bool {
        matches!(self.shards[shard as usize], ShardState::Open(pending) if pending > 0)
    }

    /// Returns whether any attempt so far ran or may have run.
    pub(super) fn verdict(&self) -> Verdict {
        self.verdict
    }

    pub(super) fn is_complete(&self) -> bool {
        self.open == 0
    }

    pub(super) fn longest_queue(&self) -> Duration {
        self.longest_queue
    }

    pub(super) fn was_overloaded(&self) -> bool {
        self.was_overloaded
    }

    /// Returns the shards that have neither rows nor a cause for missing ones.
    pub(super) fn open_shards(&self) -> impl Iterator<Item = u32> {
        let numbered = (0..).zip(&self.shards);
        numbered.filter_map(|(shard, state)| matches!(state, ShardState::Open(_)).then_some(shard))
    }

    /// Records that the request is sent to a leaf.
    pub(super) fn record_attempt(&mut self, leaf: &LeafEntry) {
        self.attempted.insert(leaf.id);
        if let ShardState::Open(pending) = &mut self.shards[leaf.shard as usize] {
            *pending += 1;
        }
    }

    /// Records a leaf's reply. Returns the failure if the reply has no rows and the shard
    /// is still open.
    pub(super) fn record_reply(&mut self, leaf: &LeafEntry, reply: &LeafReply) -> Option<Failure> {
        if let Some(range) = reply.range {
            self.ranges.push((range, 1));
        }
        let queued = Duration::from_micros(reply.queued_us.into());
        self.longest_queue = self.longest_queue.max(queued);
        let state = &mut self.shards[leaf.shard as usize];
        let failure = match &reply.outcome {
            Ok(rows) => {
                self.verdict = Verdict::Ran;
                if self.snapshot == 0 {
                    self.snapshot = rows.snapshot;
                }
                if rows.snapshot == self.snapshot {
                    if !matches!(state, ShardState::Answered(_)) {
                        if matches!(state, ShardState::Open(_)) {
                            self.open -= 1;
                        }
                        *state = ShardState::Answered(rows.json.clone());
                        self.answered += 1;
                    }
                    return None;
                }
                Failure {
                    verdict: Verdict::Ran,
                    cause: Cause::Version,
                }
            }
            Err(failure) => *failure,
        };
        self.verdict = self.verdict.max(failure.verdict);
        self.was_overloaded |= failure.cause == Cause::Overloaded;
        match state {
            ShardState::Open(pending) => {
                *pending = pending.saturating_sub(1);
                Some(failure)
            }
            ShardState::Answered(_) | ShardState::Missing(_) => None,
        }
    }

    /// Records that the response goes without a shard, if the shard is open.
    pub(super) fn mark_missing(&mut self, shard: u32, cause: Cause) {
        let state = &mut self.shards[shard as usize];
        if let ShardState::Open(pending) = state {
            if *pending > 0 {
                // A leaf that has not replied may still run the request.
                self.verdict = self.verdict.max(Verdict::MayHaveRun);
            }
            *state = ShardState::Missing(cause);
            self.open -= 1;
        }
    }

    /// Records that the response goes without the open shards.
    pub(super) fn close_open_shards(&mut self, cause: Cause) {
        let open: Vec<u32> = self.open_shards().collect();
        for shard in open {
            self.mark_missing(shard, cause);
        }
    }

    /// Returns whether shards are missing because their layout or version is not the pinned
    /// one, and a restart on another layout or snapshot may find them.
    pub(super) fn is_outdated(&self) -> bool {
        let is_missing = |cause| {
            let has_cause =
                |state: &ShardState| matches!(state, ShardState::Missing(why) if *why == cause);
            self.shards.iter().any(has_cause)
        };
        is_missing(Cause::Layout)
            || (is_missing(Cause::Version) && self.better_snapshot().is_some())
    }

    /// Returns the snapshot that most of the leaves that replied can serve, if it is not
    /// the pinned one.
    pub(super) fn better_snapshot(&self) -> Option<u64> {
        newest_common_version(&self.ranges).filter(|best| *best != self.snapshot)
    }

    pub(super) fn coverage(&self) -> Coverage {
        let missing = (0..)
            .zip(&self.shards)
            .filter_map(|(shard, state)| match state {
                ShardState::Answered(_) => None,
                ShardState::Missing(cause) => Some(Missing {
                    shard,
                    cause: *cause,
                }),
                ShardState::Open(_) => Some(Missing {
                    shard,
                    cause: Cause::Deadline,
                }),
            });
        Coverage {
            answered: self.answered,
            total: self.service.shards,
            missing: missing.collect(),
        }
    }

    /// Returns the failure to reject the query with instead of a response without shards:
    /// the cause that all missing shards share, if it does not depend on their data.
    pub(super) fn common_failure(&self) -> Option<Failure> {
        let causes: Set<Cause> = self
            .coverage()
            .missing
            .iter()
            .map(|missing| missing.cause)
            .collect();
        let is_whole_query = |cause: &Cause| {
            matches!(
                cause,
                Cause::Overloaded | Cause::Quarantined | Cause::NoOwner
            )
        };
        let mut causes = causes.into_iter();
        let only = causes.next().filter(is_whole_query)?;
        causes.next().is_none().then_some(Failure {
            verdict: self.verdict,
            cause: only,
        })
    }

    pub(super) fn into_rows(self) -> Vec<Bytes> {
        let rows = self.shards.into_iter().filter_map(|state| match state {
            ShardState::Answered(rows) => Some(rows),
            ShardState::Open(_) | ShardState::Missing(_) => None,
        });
        rows.collect()
    }
}
