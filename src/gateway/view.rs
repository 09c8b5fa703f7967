//! What a host uses to route at one moment, as one value that a request keeps until its end.

use {
    super::helpers::HelperPool,
    crate::{
        collections::{Map, Name},
        policy::{admission::Admission, leaf_selection::Candidate, traffic_split::TrafficSplit},
        protocol::dialect::Load,
        state::{
            fleet_budget::{BudgetShare, HostBudget},
            leaf_capacity::{LeafCapacity, Sample},
            leaf_limit::{CLAIM_INTERVAL, HostShare, SHARE_TTL, Share, StatedLimit},
            rate_allocator::Claim,
            rejections::RejectionRate,
            relative_latency::{Median, RelativeLatency, SLOW_RATIO},
            roster::Leaf,
            routes::RouteTable,
            warmup::Warmup,
        },
        transport::leaf::Pool,
    },
    hyper::header::HeaderValue,
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

mod capacity;

pub use self::capacity::{CapacityLearning, LearnedCapacity};

/// Age beyond which the load that a leaf reported is ignored.
const MAX_LOAD_AGE: Duration = Duration::from_millis(150);

/// Time for which a leaf that rejected a request as full is chosen last.
const FULL_BACKOFF: Duration = Duration::from_millis(100);

/// Time for which an attempt without a reply may still reach its leaf, which reads it when it
/// runs again.
const UNANSWERED_TTL: Duration = Duration::from_mins(1);

/// Attempts without a reply that are remembered of a leaf.
const MAX_UNANSWERED: usize = 256;

/// Share of a leaf's connections that the counted hosts divide; the rest is for hosts that
/// have just started and are not counted yet.
const CONNECTION_RATIO: f64 = 0.9;

/// Connection limit of a leaf that states none, for all hosts together.
const DEFAULT_CONNECTION_LIMIT: f64 = 64.0;

/// What a host uses to route at one moment.
#[derive(Debug, Default)]
pub struct View {
    /// The routes in force; `None` until the first are received.
    pub routes: Option<Arc<RouteTable>>,
    /// Entry hosts that share the fleet's limits, including this one.
    pub hosts: usize,
    /// Each service with its usable leaves.
    pub services: Map<Name, Arc<Service>>,
    /// Statistics of each route, by its name.
    pub route_stats: Map<Name, Arc<RouteStats>>,
    /// Hosts that may run subqueries for this one.
    pub helpers: Arc<HelperPool>,
}

/// A service and its usable leaves.
#[derive(Debug)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// Usable leaves.
    pub leaves: Vec<Arc<LeafHandle>>,
    /// Hosts that share the fleet retry budget for this service.
    pub budget_share: BudgetShare,
    /// This host's retry budget; outlives the view.
    pub retry_budget: Arc<Mutex<HostBudget>>,
    /// Admission of requests for the set of shards that starts with this service; outlives
    /// the view.
    pub admission: Arc<Mutex<Admission>>,
}

/// Statistics of a route, collected from its requests.
#[derive(Debug, Default)]
pub struct RouteStats {
    baseline: Mutex<Median>,
    split: Mutex<TrafficSplit>,
}

/// A leaf with its connections and its recent replies and failures; outlives the view.
#[derive(Debug)]
pub struct LeafHandle {
    /// The leaf as the registry describes it.
    pub leaf: Leaf,
    /// Connections to it.
    pub pool: Pool,
    /// Its id as a header value; `None` when the id is not a valid one.
    pub id_value: Option<HeaderValue>,
    stats: Mutex<LeafStats>,
}

#[derive(Debug, Default)]
struct LeafStats {
    latency: RelativeLatency,
    learning: CapacityLearning,
    /// How much the leaf takes well; `None` while that isn't learned.
    capacity: Option<Box<LeafCapacity>>,
    /// The load that the leaf last reported, and when.
    load: Option<(Load, Instant)>,
    /// When the leaf last rejected a request as full.
    full_at: Option<Instant>,
    rejections: RejectionRate,
    /// When attempts ended without a reply, since the leaf last showed that it runs.
    unanswered: VecDeque<Instant>,
    in_flight: Vec<Attempt>,
    next_number: u64,
    warmup: Warmup,
    stated_limit: StatedLimit,
    limit_share: HostShare,
    /// Whether another leaf replies at its address.
    is_replaced: bool,
    /// Until when it is taken to run, although it breaks connections.
    running_until: Option<Instant>,
}

/// An attempt in flight at a leaf.
#[derive(Debug)]
struct Attempt {
    number: u64,
    sent_at: Instant,
    /// Baseline latency of the request's replies.
    baseline: Duration,
}

/// An attempt in flight at a leaf; it counts as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    leaf: Arc<LeafHandle>,
    number: u64,
    sent_at: Instant,
    /// Attempts of this host at the leaf when this one was sent, including it.
    together: u32,
}

/// Whether a leaf's rate limit lets this host send a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitCheck {
    /// The leaf states no limit.
    Unlimited,
    /// This host's share of the limit has room.
    WithinShare,
    /// This host's share is used up.
    UsedUp,
    /// This host has not claimed a share yet.
    Unclaimed,
}

/// Locks `mutex`, also after a panic in another holder: it guards statistics only.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl View {
    /// Returns the usable leaves of `service`.
    #[must_use]
    pub fn leaves(&self, service: &str) -> &[Arc<LeafHandle>] {
        self.services
            .get(service)
            .map_or(&[], |service| &service.leaves)
    }

    /// Returns whether `leaf` is one of the usable leaves.
    #[must_use]
    pub fn has_leaf(&self, leaf: &Arc<LeafHandle>) -> bool {
        let mut leaves = self.leaves(&leaf.leaf.service).iter();
        leaves.any(|known| Arc::ptr_eq(known, leaf))
    }

    /// Returns the time until the rate limits of the leaves let this host send to one leaf of
    /// `needed` of `services`; `None` when they do now.
    #[must_use]
    pub fn limited_for(&self, services: &[Name], needed: usize, now: Instant) -> Option<Duration> {
        let mut waits: Vec<Duration> = services
            .iter()
            .filter_map(|service| {
                let leaves = self.leaves(service).iter();
                leaves.map(|leaf| leaf.limited_for(now)).min()
            })
            .collect();
        waits.sort_unstable();
        let wait = waits.get(needed.checked_sub(1)?)?;
        (!wait.is_zero()).then_some(*wait)
    }

    /// Returns how many of `services` have a usable leaf.
    #[must_use]
    pub fn reachable(&self, services: &[Name]) -> usize {
        let has_leaf = |service: &&Name| !self.leaves(service).is_empty();
        services.iter().filter(has_leaf).count()
    }

    /// Returns the requests per second that a cold leaf of `service` accepts; `None`
    /// without a limit.
    #[must_use]
    pub fn cold_rate(&self, service: &str) -> Option<f64> {
        self.routes.as_ref()?.rules(service).cold_rate
    }

    /// Returns how many connections this host may have to a leaf of `service`.
    #[must_use]
    pub fn connections(&self, service: &str) -> usize {
        let limit = self
            .routes
            .as_ref()
            .map_or(0, |routes| routes.rules(service).connections);
        let limit = match limit {
            0 => DEFAULT_CONNECTION_LIMIT,
            limit => f64::from(limit),
        };
        let share = self
            .services
            .get(service)
            .map(|service| service.budget_share);
        let hosts = match share {
            // Half stays for the other hosts, which query leaves themselves now and then.
            Some(BudgetShare::DividedAmong(sharing)) if sharing < self.hosts => sharing * 2,
            _ => self.hosts,
        };
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "numbers of hosts and connections are small"
        )]
        let share = (limit * CONNECTION_RATIO / hosts.max(1) as f64) as usize;
        share.max(1)
    }
}

impl RouteStats {
    /// Records how long a leaf took for a request of the route.
    pub fn record_latency(&self, took: Duration) {
        lock(&self.baseline).record_sample(took);
    }

    /// Returns the route's baseline latency at a leaf; `None` before the first sample.
    #[must_use]
    pub fn baseline(&self) -> Option<Duration> {
        lock(&self.baseline).get()
    }

    /// Returns the state of the route's traffic split.
    pub fn split(&self) -> MutexGuard<'_, TrafficSplit> {
        lock(&self.split)
    }
}

impl LeafHandle {
    /// Returns a handle without connections or statistics.
    #[must_use]
    pub fn new(leaf: Leaf) -> Self {
        Self {
            id_value: HeaderValue::from_str(&leaf.id).ok(),
            leaf,
            pool: Pool::default(),
            stats: Mutex::default(),
        }
    }

    /// Sets whether it is learned how much the leaf takes well.
    #[must_use]
    pub fn with_learning(self, learning: CapacityLearning) -> Self {
        lock(&self.stats).learning = learning;
        self
    }

    /// Records for how much longer the leaf stays cold.
    pub fn record_warmup(&self, remaining: Duration, now: Instant) {
        lock(&self.stats).warmup.record_warmup(remaining, now);
    }

    /// Returns whether a request may be sent to the leaf now. It may not once another leaf
    /// replies at this leaf's address. A cold leaf that accepts only `rate` requests per
    /// second gets this host's share of them.
    #[must_use]
    pub fn is_allowed(&self, rate: Option<f64>, now: Instant) -> bool {
        let stats = lock(&self.stats);
        !stats.is_replaced && stats.warmup.may_send(rate, now)
    }

    /// Records that another leaf replies at its address: this one has ended, even while its
    /// registry entry remains. Returns whether this was not recorded before.
    pub fn record_replaced(&self) -> bool {
        !std::mem::replace(&mut lock(&self.stats).is_replaced, true)
    }

    /// Records that the leaf runs, although it breaks connections; that holds until `until`.
    pub fn record_running(&self, until: Instant) {
        lock(&self.stats).running_until = Some(until);
    }

    /// Returns whether the leaf is taken to run, although it breaks connections.
    #[must_use]
    pub fn is_known_running(&self, now: Instant) -> bool {
        let until = lock(&self.stats).running_until;
        until.is_some_and(|until| now < until)
    }

    /// Records the rate limit that a reply states, if any; the request was sent at `sent_at`.
    /// Returns whether the limit changed.
    pub fn record_rate_limit(&self, rate: Option<f64>, sent_at: Instant) -> bool {
        lock(&self.stats).stated_limit.update(rate, sent_at)
    }

    /// Returns the rate limit that the leaf states, requests per second.
    #[must_use]
    pub fn rate_limit(&self) -> Option<f64> {
        lock(&self.stats).stated_limit.rate
    }

    /// Counts a request that this host would send, and takes it from the share of the leaf's
    /// rate limit when there is room.
    #[must_use]
    pub fn take_from_limit(&self, now: Instant) -> LimitCheck {
        let mut stats = lock(&self.stats);
        if stats.stated_limit.rate.is_none() {
            return LimitCheck::Unlimited;
        }
        let is_unclaimed = stats.limit_share.is_unclaimed();
        match (stats.limit_share.try_send(now), is_unclaimed) {
            (true, _) => LimitCheck::WithinShare,
            (false, true) => LimitCheck::Unclaimed,
            (false, false) => LimitCheck::UsedUp,
        }
    }

    /// Returns the time until the leaf's rate limit lets this host send a request; zero when
    /// it does now, or when this host did not want to send one lately.
    #[must_use]
    pub fn limited_for(&self, now: Instant) -> Duration {
        let stats = lock(&self.stats);
        if stats.stated_limit.rate.is_none() || stats.limit_share.is_unclaimed() {
            return Duration::ZERO;
        }
        let wait = stats.limit_share.time_to_send(now);
        wait.map_or(CLAIM_INTERVAL, |wait| wait.min(SHARE_TTL))
    }

    /// Returns the claim for a share of the leaf's rate limit, if one is due.
    #[must_use]
    pub fn start_claim(&self, now: Instant) -> Option<Claim> {
        let mut stats = lock(&self.stats);
        let held = stats.limit_share.rate(now);
        let demand = stats.limit_share.start_claim(now)?;
        Some(Claim {
            leaf: self.leaf.id.clone(),
            stated: stats.stated_limit,
            demand,
            held,
        })
    }

    /// Applies the share that a claim sent at `claimed_at` got. Returns the share before, and
    /// the limit that the leaf states.
    pub fn apply_share(
        &self,
        share: &Share,
        claimed_at: Instant,
        now: Instant,
    ) -> (f64, Option<f64>) {
        let mut stats = lock(&self.stats);
        let before = stats.limit_share.rate(now);
        stats.stated_limit.merge(share.stated);
        stats.limit_share.apply(share, claimed_at, now);
        (before, stats.stated_limit.rate)
    }

    /// Records a reply to another host that took `took`, with the baseline latency of the
    /// request's replies and the load that the leaf reported.
    pub fn record_reply_elsewhere(
        &self,
        took: Duration,
        baseline: Duration,
        load: Option<Load>,
        now: Instant,
    ) {
        let mut stats = lock(&self.stats);
        stats.latency.record_latency(took, baseline, now);
        stats.rejections.record_outcome(false, now);
        if let Some(load) = load {
            stats.load = Some((load, now));
        }
    }

    /// Records that the leaf rejected a request of another host as full.
    pub fn record_rejection_elsewhere(&self, now: Instant) {
        let mut stats = lock(&self.stats);
        stats.full_at = Some(now);
        stats.rejections.record_outcome(true, now);
    }

    /// Records that a request of another host failed at the leaf.
    pub fn record_failure_elsewhere(&self, now: Instant) {
        lock(&self.stats).latency.record_failure(now);
    }

    /// Returns how many attempts may still reach the leaf, though they have ended: it has
    /// not shown since that it runs.
    #[must_use]
    pub fn unanswered(&self, now: Instant) -> usize {
        let stats = lock(&self.stats);
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < UNANSWERED_TTL;
        stats.unanswered.iter().filter(is_recent).count()
    }

    /// Counts an attempt that is about to be sent; `baseline` is the baseline latency of the
    /// request's replies.
    #[must_use]
    pub fn start_attempt(self: &Arc<Self>, baseline: Duration, now: Instant) -> InFlight {
        let mut stats = lock(&self.stats);
        let number = stats.next_number;
        stats.next_number += 1;
        stats.in_flight.push(Attempt {
            number,
            sent_at: now,
            baseline,
        });
        InFlight {
            leaf: Arc::clone(self),
            number,
            sent_at: now,
            together: u32::try_from(stats.in_flight.len()).unwrap_or(u32::MAX),
        }
    }

    /// Records an attempt at a leaf that accepts `rate` requests per second, from all
    /// `hosts` together, while it is cold.
    pub fn record_warmup_attempt(&self, rate: Option<f64>, hosts: usize, now: Instant) {
        lock(&self.stats).warmup.record_request(rate, hosts, now);
    }

    /// Returns the properties that leaf selection compares; `near` is this host's domain.
    #[must_use]
    pub fn candidate(&self, near: &str, now: Instant) -> Candidate {
        let stats = lock(&self.stats);
        let overdue = stats.in_flight.iter().map(|attempt| {
            let age = now.saturating_duration_since(attempt.sent_at);
            age.as_secs_f64() / attempt.baseline.as_secs_f64().max(1e-4)
        });
        let overdue = overdue.fold(0.0, f64::max);
        let load = stats
            .load
            .filter(|(_, at)| now.saturating_duration_since(*at) < MAX_LOAD_AGE);
        Candidate {
            relative_latency: stats.latency.current(now),
            overdue: if overdue >= SLOW_RATIO { overdue } else { 0.0 },
            in_flight: u32::try_from(stats.in_flight.len()).unwrap_or(u32::MAX),
            load: load.map(|(load, _)| load),
            slots: self.leaf.slots,
            is_local: &*self.leaf.domain == near,
            is_connected: self.pool.is_connected(now),
            is_full: stats
                .full_at
                .is_some_and(|at| now.saturating_duration_since(at) < FULL_BACKOFF),
            rejection_ratio: stats.rejections.ratio(now),
            capacity: stats.learned(now),
        }
    }
}

impl InFlight {
    /// Returns when the attempt was sent.
    #[must_use]
    pub fn sent_at(&self) -> Instant {
        self.sent_at
    }

    /// Returns the time since the attempt was sent.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.sent_at)
    }

    /// Records a reply, with the request's baseline latency and the load that the leaf
    /// reported.
    pub fn record_reply(&self, baseline: Duration, load: Option<Load>, now: Instant) {
        let mut stats = lock(&self.leaf.stats);
        let sample = Sample {
            latency: self.age(now).as_secs_f64() / baseline.as_secs_f64().max(1e-4),
            requests: load
                .map_or(0, |load| load.running.saturating_add(load.waiting))
                .max(self.together),
            pace: load.and_then(|load| load.pace),
        };
        let took = match stats.record_capacity(self.leaf.leaf.slots, sample, now) {
            Some(alone) => baseline.mul_f64(alone),
            None => self.age(now),
        };
        stats.latency.record_latency(took, baseline, now);
        stats.rejections.record_outcome(false, now);
        if let Some(load) = load {
            stats.load = Some((load, now));
        }
    }

    /// Records that the leaf rejected the request as full.
    pub fn record_rejection(&self, now: Instant) {
        let mut stats = lock(&self.leaf.stats);
        stats.full_at = Some(now);
        stats.rejections.record_outcome(true, now);
    }

    /// Records that the request failed at the leaf.
    pub fn record_failure(&self, now: Instant) {
        lock(&self.leaf.stats).latency.record_failure(now);
    }

    /// Records that the attempt ended without a reply: the leaf may still read the request.
    pub fn record_silence(&self, now: Instant) {
        let mut stats = lock(&self.leaf.stats);
        if stats.unanswered.len() >= MAX_UNANSWERED {
            stats.unanswered.pop_front();
        }
        stats.unanswered.push_back(now);
    }

    /// Records that the leaf runs, since it replied or closed the connection.
    pub fn record_contact(&self) {
        lock(&self.leaf.stats).unanswered.clear();
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        lock(&self.leaf.stats)
            .in_flight
            .retain(|attempt| attempt.number != self.number);
    }
}
