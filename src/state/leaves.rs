//! Admission of requests to the leaves: slots, queue, concurrency limit and drain of each.
//!
//! Each leaf has a gate, which is open only on the daemon that owns the leaf; a closed gate
//! admits no request. The gates are kept in several tables, each under its own lock.

use {
    super::{
        catalog::{LeafEntry, LeafId},
        ramp::Ramp,
        versions::{ServiceRanges, VersionRange},
    },
    crate::{
        collections::{Map, Name},
        declaration::Service,
        protocol::{
            message::LeafWarmth,
            verdict::{Cause, Failure},
        },
    },
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{sync::oneshot, time::Instant},
};

/// Number of tables, each with its own lock.
const TABLES: usize = 64;

/// Most requests queued for a leaf. Deadlines usually keep the queue shorter.
const MAX_QUEUED: usize = 4_096;

/// Factor over the typical latency of a service's leaves beyond which one is slow.
pub const SLOW_FACTOR: u32 = 3;

/// Number of leaves of a service below which none is reported as slow.
const MIN_LEAVES: usize = 3;

/// Whether a gate admits requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum GateState {
    /// This daemon does not own the leaf: requests are rejected.
    #[default]
    Closed,
    /// This daemon is about to take over the leaf: requests are queued.
    Expected,
    /// This daemon owns the leaf: requests are admitted.
    Open,
}

#[derive(Debug, Default)]
struct Gate {
    state: GateState,
    draining: bool,
    in_flight: u32,
    limit: u32,
    queue: VecDeque<oneshot::Sender<Permit>>,
    ramp: Ramp,
    service: Option<Arc<Service>>,
    range: Option<VersionRange>,
    mean_latency: Duration,
}

/// The gates of all leaves.
#[derive(Debug)]
pub struct Leaves {
    tables: Vec<Mutex<Map<LeafId, Gate>>>,
}

/// Slot for one request in flight at a leaf; released when dropped.
#[derive(Debug)]
pub struct Permit {
    leaves: Arc<Leaves>,
    leaf: LeafId,
}

impl Permit {
    /// Records that the request was cancelled after running for `ran`: a slow leaf may give
    /// no other sample of its latency.
    pub fn record_cancelled(&self, ran: Duration) {
        self.leaves.record_cancelled(self.leaf, ran);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.leaves.release_slot(self.leaf);
    }
}

/// What a reply or status response reports about a leaf.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetStatus {
    /// Incarnation of the target.
    pub incarnation: Name,
    /// Index versions that it can serve.
    pub range: VersionRange,
    /// Whether the target reports that it is leaving.
    pub leaving: bool,
}

/// State of a leaf's gate, as operators see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GateStatus {
    /// Whether this daemon may send requests to the leaf.
    pub open: bool,
    /// Whether the target has reported that it is leaving.
    pub draining: bool,
    /// Whether the leaf gets fewer concurrent requests than it has slots.
    pub ramping: bool,
}

impl Default for Leaves {
    fn default() -> Self {
        Self {
            tables: (0..TABLES).map(|_| Mutex::default()).collect(),
        }
    }
}

impl Leaves {
    fn table(&self, leaf: LeafId) -> MutexGuard<'_, Map<LeafId, Gate>> {
        // The high bits pick the table, since its hash map uses the low ones for buckets.
        let index = usize::try_from(leaf.0 >> 58).unwrap_or(0) % TABLES;
        self.tables[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Opens a leaf's gate, with the incarnation and the limit that the previous owner
    /// recorded.
    pub fn open(self: &Arc<Self>, leaf: &LeafEntry, warmth: Option<&LeafWarmth>) {
        {
            let mut table = self.table(leaf.id);
            let gate = table.entry(leaf.id).or_default();
            gate.state = GateState::Open;
            if let Some(warmth) = warmth {
                gate.ramp.inherit(warmth.incarnation.clone(), warmth.limit);
            }
            gate.service = Some(Arc::clone(&leaf.service));
            gate.update_limit();
        }
        self.admit_queued(leaf.id);
    }

    /// Queues requests for a leaf that this daemon is about to take over.
    pub fn queue_requests(&self, leaf: LeafId) {
        self.table(leaf).entry(leaf).or_default().state = GateState::Expected;
    }

    /// Closes a leaf's gate: queued requests are rejected, those in flight finish. Returns
    /// the leaf's incarnation and limit for the next owner.
    #[must_use]
    pub fn close(&self, leaf: LeafId) -> Option<LeafWarmth> {
        let mut table = self.table(leaf);
        let gate = table.get_mut(&leaf)?;
        gate.state = GateState::Closed;
        gate.queue.clear();
        let warmth = gate.ramp.incarnation().map(|incarnation| LeafWarmth {
            leaf,
            incarnation: incarnation.clone(),
            limit: gate.limit,
        });
        gate.ramp = Ramp::default();
        gate.range = None;
        gate.draining = false;
        warmth
    }

    /// Returns whether a request is in flight at the leaf.
    #[must_use]
    pub fn is_busy(&self, leaf: LeafId) -> bool {
        self.table(leaf)
            .get(&leaf)
            .is_some_and(|gate| gate.in_flight > 0)
    }

    /// Returns the state of a leaf's gate.
    #[must_use]
    pub fn gate_status(&self, leaf: &LeafEntry) -> GateStatus {
        let table = self.table(leaf.id);
        table
            .get(&leaf.id)
            .map_or_else(GateStatus::default, |gate| GateStatus {
                open: gate.is_open(),
                draining: gate.draining,
                ramping: gate.ramp.is_ramping(&leaf.service),
            })
    }

    /// Waits until the leaf's gate is open and a slot is free.
    ///
    /// # Errors
    ///
    /// Fails immediately if the gate is closed, the target is leaving, or the queue is too
    /// long for the deadline; later at the deadline, or when the gate is closed or the
    /// target starts to leave while the request is queued. In each case no request was
    /// sent.
    pub async fn acquire_slot(
        self: &Arc<Self>,
        leaf: &LeafEntry,
        deadline: Instant,
    ) -> Result<Permit, Failure> {
        let waiting = {
            let mut table = self.table(leaf.id);
            let gate = table.entry(leaf.id).or_default();
            if gate.state == GateState::Closed {
                return Err(Failure::not_run(Cause::NotOwner));
            }
            gate.service = Some(Arc::clone(&leaf.service));
            gate.update_limit();
            if gate.draining {
                return Err(Failure::not_run(Cause::Draining));
            }
            if gate.has_room() && gate.queue.is_empty() {
                gate.in_flight += 1;
                return Ok(self.new_permit(leaf.id));
            }
            gate.queue.retain(|waiter| !waiter.is_closed());
            if gate.would_miss_deadline(deadline) {
                return Err(Failure::not_run(Cause::Overloaded));
            }
            let (sender, receiver) = oneshot::channel();
            gate.queue.push_back(sender);
            receiver
        };
        match tokio::time::timeout_at(deadline, waiting).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) => Err(Failure::not_run(Cause::NotOwner)),
            Err(_) => Err(Failure::not_run(Cause::Deadline)),
        }
    }

    fn new_permit(self: &Arc<Self>, leaf: LeafId) -> Permit {
        Permit {
            leaves: Arc::clone(self),
            leaf,
        }
    }

    fn release_slot(self: &Arc<Self>, leaf: LeafId) {
        if let Some(gate) = self.table(leaf).get_mut(&leaf) {
            gate.in_flight = gate.in_flight.saturating_sub(1);
        }
        self.admit_queued(leaf);
    }

    fn admit_queued(self: &Arc<Self>, leaf: LeafId) {
        loop {
            let waiter = {
                let mut table = self.table(leaf);
                let Some(gate) = table.get_mut(&leaf) else {
                    return;
                };
                gate.admit_next()
            };
            let Some(waiter) = waiter else { return };
            // The request is no longer waiting: dropping the permit releases the slot.
            if let Err(permit) = waiter.send(self.new_permit(leaf)) {
                drop(permit);
            }
        }
    }

    fn record_cancelled(&self, leaf: LeafId, ran: Duration) {
        if let Some(gate) = self.table(leaf).get_mut(&leaf) {
            gate.ramp.record_cancelled(ran);
            gate.update_limit();
            // The reply would have taken longer than `ran`.
            if ran > gate.mean_latency {
                gate.record_latency(ran);
            }
        }
    }

    /// Records a complete reply of a leaf that took `took`. After the gate is closed
    /// replies are ignored: the next owner records its own.
    pub fn record_reply(&self, leaf: &LeafEntry, status: &TargetStatus, took: Duration) {
        let mut table = self.table(leaf.id);
        let Some(gate) = table.get_mut(&leaf.id).filter(|gate| gate.is_open()) else {
            return;
        };
        gate.apply_status(status);
        gate.ramp
            .record_reply(&leaf.service, &status.incarnation, took);
        gate.update_limit();
        gate.record_latency(took);
    }

    /// Records the status from a rejection or a status response.
    pub fn record_status(&self, leaf: &LeafEntry, status: &TargetStatus) {
        let mut table = self.table(leaf.id);
        if let Some(gate) = table.get_mut(&leaf.id).filter(|gate| gate.is_open()) {
            gate.apply_status(status);
            gate.ramp.record_incarnation(&status.incarnation);
            gate.update_limit();
        }
    }

    /// Makes a leaf cold, since it restarted or its state is unknown.
    pub fn reset_ramp(&self, leaf: &LeafEntry) {
        if let Some(gate) = self.table(leaf.id).get_mut(&leaf.id) {
            gate.ramp.reset();
            gate.update_limit();
        }
    }

    /// Returns those of `leaves` with a mean latency of more than [`SLOW_FACTOR`] times the
    /// median of the leaves of their service in `leaves`.
    #[must_use]
    pub fn slow_leaves(&self, leaves: &[&LeafEntry]) -> Vec<LeafId> {
        let mut latencies: Map<Name, Vec<(Duration, LeafId)>> = Map::default();
        for leaf in leaves {
            let latency = self
                .table(leaf.id)
                .get(&leaf.id)
                .map(|gate| gate.mean_latency);
            if let Some(latency) = latency.filter(|latency| !latency.is_zero()) {
                let service = latencies.entry(leaf.service.name.clone()).or_default();
                service.push((latency, leaf.id));
            }
        }
        let mut slow = Vec::new();
        for latencies in latencies
            .values_mut()
            .filter(|latencies| latencies.len() >= MIN_LEAVES)
        {
            latencies.sort_unstable();
            let median = latencies[latencies.len() / 2].0;
            let is_slow = |(latency, _): &&(Duration, LeafId)| *latency > median * SLOW_FACTOR;
            slow.extend(latencies.iter().filter(is_slow).map(|(_, leaf)| *leaf));
        }
        slow.sort_unstable();
        slow
    }

    /// Returns the index versions that a leaf can serve; `None` while they are unknown.
    #[must_use]
    pub fn version_range(&self, leaf: LeafId) -> Option<VersionRange> {
        self.table(leaf).get(&leaf)?.range
    }

    /// Returns the index versions at `leaves` with the number of leaves that have them,
    /// sorted by service.
    #[must_use]
    pub fn version_ranges<'a>(
        &self,
        leaves: impl Iterator<Item = &'a LeafEntry>,
    ) -> Vec<ServiceRanges> {
        let mut counts: Map<Name, Map<VersionRange, u32>> = Map::default();
        for leaf in leaves {
            if let Some(range) = self.version_range(leaf.id) {
                let service = counts.entry(leaf.service.name.clone()).or_default();
                *service.entry(range).or_default() += 1;
            }
        }
        let mut service_ranges: Vec<ServiceRanges> = counts
            .into_iter()
            .map(|(service, ranges)| {
                let mut ranges: Vec<_> = ranges.into_iter().collect();
                ranges.sort_unstable();
                ServiceRanges { service, ranges }
            })
            .collect();
        service_ranges.sort_unstable_by(|a, b| a.service.cmp(&b.service));
        service_ranges
    }
}

impl Gate {
    fn record_latency(&mut self, took: Duration) {
        self.mean_latency = if self.mean_latency.is_zero() {
            took
        } else {
            (self.mean_latency * 7 + took) / 8
        };
    }

    fn update_limit(&mut self) {
        if let Some(service) = &self.service {
            self.limit = self.ramp.limit(service);
        }
    }

    fn is_open(&self) -> bool {
        self.state == GateState::Open
    }

    fn has_room(&self) -> bool {
        self.is_open() && self.in_flight < self.limit
    }

    fn admit_next(&mut self) -> Option<oneshot::Sender<Permit>> {
        while self.has_room() {
            let waiter = self.queue.pop_front()?;
            if !waiter.is_closed() {
                self.in_flight += 1;
                return Some(waiter);
            }
        }
        None
    }

    /// Returns whether a request that joins the queue now would miss `deadline`.
    fn would_miss_deadline(&self, deadline: Instant) -> bool {
        let ahead = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        let turns = ahead / self.limit.max(1) + 1;
        let wait = self.mean_latency.saturating_mul(turns);
        self.queue.len() >= MAX_QUEUED || Instant::now() + wait > deadline
    }

    fn apply_status(&mut self, status: &TargetStatus) {
        let has_restarted = self.ramp.incarnation() != Some(&status.incarnation);
        self.range = Some(status.range);
        self.draining = status.leaving || (self.draining && !has_restarted);
        if self.draining {
            self.queue.clear();
        }
    }
}
