//! The attempts of one request at one service.

use {
    crate::{
        gateway::{
            metrics::AttemptReason,
            view::{LeafHandle, Service},
        },
        policy::retry::AttemptCount,
        protocol::verdict::{Cause, Failure, Verdict},
        state::routes::Route,
        transport::leaf::LeafReply,
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// The attempts at one service.
pub struct ServiceAttempts {
    /// Leaves and retry budget of the service; `None` when it has no usable leaf.
    pub handle: Option<Arc<Service>>,
    /// Whether the service replied, failed or may still reply.
    pub state: State,
    /// Number of attempts, and their limits.
    pub counts: AttemptCount,
    /// Start of the first attempt.
    pub first_start: Option<Instant>,
    /// Whether no further hedge may follow: one was sent, or no other leaf or attempt is
    /// left.
    pub is_hedged: bool,
    /// Time of the next hedge, after the retry budget denied one.
    pub denied_until: Option<Instant>,
    /// Scheduled retry and the time at which it is due.
    pub retry: Option<(Instant, ScheduledRetry)>,
    /// Attempts in flight, by number.
    pub pending: Vec<(u64, Arc<LeafHandle>)>,
    /// Last reply of a leaf with a failure status.
    pub failed_reply: Option<Box<LeafReply>>,
    tried: Vec<Arc<LeafHandle>>,
    /// Leaves to which no connection could be opened at the last attempt.
    unreached: Vec<Arc<LeafHandle>>,
    /// Leaves that had no free connection.
    busy: Vec<Arc<LeafHandle>>,
}

/// The state of the attempts at one service.
#[derive(Debug)]
pub enum State {
    /// No reply yet.
    Open,
    /// A reply that can be forwarded or merged.
    Replied(Box<LeafReply>),
    /// No reply will come. The last failure reply of a leaf, if any, may be forwarded.
    Failed(Failure, Option<Box<LeafReply>>),
}

/// A retry that is scheduled.
#[derive(Clone, Copy, Debug)]
pub enum ScheduledRetry {
    /// Does not count against the retry budget: the last attempt did not reach its leaf.
    Free,
    /// Counts against the retry budget. Holds the failure of the last attempt.
    Paid(Failure),
    /// An attempt that counts no more against the retry budget. It waits until it is known
    /// whether the request crashes leaves.
    Suspended(AttemptReason),
}

impl ServiceAttempts {
    /// Creates the state for a request of `route`, before the first attempt.
    #[must_use]
    pub fn new(service: Option<Arc<Service>>, route: &Route) -> Self {
        Self {
            handle: service,
            state: State::Open,
            counts: AttemptCount::new(route.max_attempts, route.repeats),
            first_start: None,
            is_hedged: false,
            denied_until: None,
            retry: None,
            pending: Vec::new(),
            failed_reply: None,
            tried: Vec::new(),
            unreached: Vec::new(),
            busy: Vec::new(),
        }
    }

    /// Returns whether the service may still reply.
    #[must_use]
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Open)
    }

    /// Returns the name of the service, empty when it has no usable leaf.
    #[must_use]
    pub fn name(&self) -> &str {
        self.handle.as_ref().map_or("", |service| &service.name)
    }

    /// Returns the usable leaves.
    #[must_use]
    pub fn leaves(&self) -> &[Arc<LeafHandle>] {
        self.handle.as_ref().map_or(&[], |service| &service.leaves)
    }

    /// Returns the usable leaves without an attempt.
    pub fn untried_leaves(&self) -> impl Iterator<Item = &Arc<LeafHandle>> {
        self.leaves()
            .iter()
            .filter(|leaf| !self.tried.iter().any(|tried| Arc::ptr_eq(tried, leaf)))
    }

    /// Returns the id of the leaf of the last attempt.
    #[must_use]
    pub fn last_leaf(&self) -> Option<&str> {
        self.tried.last().map(|leaf| &*leaf.leaf.id)
    }

    /// Returns the number of leaves with an attempt.
    #[must_use]
    pub fn tried_count(&self) -> usize {
        self.tried.len()
    }

    /// Returns the time since the first attempt started; zero before it.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        self.first_start
            .map_or(Duration::ZERO, |start| now.saturating_duration_since(start))
    }

    /// Records the start of attempt `number` at `leaf`.
    pub fn record_start(&mut self, number: u64, leaf: Arc<LeafHandle>, now: Instant) {
        self.counts.record_start();
        self.first_start.get_or_insert(now);
        self.tried.push(Arc::clone(&leaf));
        self.pending.push((number, leaf));
    }

    /// Records the end of attempt `number` and returns its leaf.
    pub fn record_end(&mut self, number: u64) -> Option<Arc<LeafHandle>> {
        let index = self
            .pending
            .iter()
            .position(|(pending, _)| *pending == number)?;
        Some(self.pending.swap_remove(index).1)
    }

    /// Records how far a failed attempt at `leaf` came.
    pub fn record_reach(&mut self, leaf: &Arc<LeafHandle>, cause: Cause, arrived: bool) {
        if cause == Cause::Overloaded {
            self.busy.push(Arc::clone(leaf));
            return;
        }
        self.unreached.retain(|known| !Arc::ptr_eq(known, leaf));
        if cause == Cause::Unreachable && !arrived {
            self.unreached.push(Arc::clone(leaf));
        }
    }

    /// Returns whether this host reaches none of the leaves, so that none has got the request.
    #[must_use]
    pub fn is_unreached(&self) -> bool {
        let is_unreached = |leaf| self.unreached.iter().any(|known| Arc::ptr_eq(known, leaf));
        self.counts.runs == 0 && !self.leaves().is_empty() && self.leaves().iter().all(is_unreached)
    }

    /// Allows another attempt at the leaves that had no free connection, or else at `leaf`.
    pub fn allow_again(&mut self, leaf: Option<&Arc<LeafHandle>>) {
        let mut allowed = std::mem::take(&mut self.busy);
        if allowed.is_empty() {
            allowed.extend(leaf.cloned());
        }
        let is_allowed =
            |tried: &Arc<LeafHandle>| allowed.iter().any(|leaf| Arc::ptr_eq(tried, leaf));
        self.tried.retain(|tried| !is_allowed(tried));
    }

    /// Returns when the scheduled retry is due.
    #[must_use]
    pub fn retry_due_at(&self) -> Option<Instant> {
        self.retry.map(|(at, _)| at)
    }

    /// Returns whether an attempt waits until it is known whether the request crashes leaves.
    #[must_use]
    pub fn is_suspended(&self) -> bool {
        matches!(self.retry, Some((_, ScheduledRetry::Suspended(_))))
    }

    /// Takes the scheduled retry if it is due.
    pub fn take_due_retry(&mut self, now: Instant) -> Option<ScheduledRetry> {
        self.retry
            .take_if(|(at, _)| now >= *at)
            .map(|(_, retry)| retry)
    }

    /// Marks the service as failed if it is still open. The last failure reply is used when
    /// `reply` is `None`. `failure` is that of the last attempt; an earlier one may have run
    /// the request.
    pub fn fail(&mut self, mut failure: Failure, reply: Option<Box<LeafReply>>) {
        if self.is_open() {
            if failure.verdict == Verdict::NotRun && self.counts.runs > 0 {
                failure.verdict = Verdict::MayHaveRun;
            }
            let reply = reply.or(self.failed_reply.take());
            self.state = State::Failed(failure, reply);
        }
    }
}
