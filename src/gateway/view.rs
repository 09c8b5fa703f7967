//! What a host knows at one moment, as one value that requests hold on to.

use {
    super::helpers::Helpers,
    crate::{
        collections::{Map, Name},
        policy::{admit::Admission, place::Candidate, split::Split},
        protocol::dialect::Load,
        state::{
            allowance::{Allowance, Share},
            pace::{Median, Pace, SLOW},
            refusals::Refusals,
            roster::Leaf,
            routes::RouteTable,
            warmup::Warmup,
        },
        transport::leaf::Pool,
    },
    hyper::header::HeaderValue,
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
};

/// Age beyond which a leaf's word on its load says nothing.
const LOAD_AGE: Duration = Duration::from_millis(150);

/// Time for which a leaf that refused a request as full is asked last.
const FULL_TIME: Duration = Duration::from_millis(100);

/// Part of a leaf's connections that is shared out; the rest is for hosts that have
/// just come and are not counted yet.
const CONNECTION_PART: f64 = 0.9;

/// Connections to a leaf that states no limit.
const UNSTATED_CONNECTIONS: f64 = 64.0;

/// What is known at one moment.
#[derive(Debug, Default)]
pub struct View {
    /// The routes in force; `None` until any are known.
    pub routes: Option<Arc<RouteTable>>,
    /// Entry hosts that share the fleet's limits, this one counted.
    pub hosts: usize,
    /// Each service with its usable leaves.
    pub services: Map<Name, Arc<Service>>,
    /// What is learned of each route, by its name.
    pub learned: Map<Name, Arc<Learned>>,
    /// Hosts that may ask leaves for this one.
    pub helpers: Arc<Helpers>,
}

/// A service and its usable leaves.
#[derive(Debug)]
pub struct Service {
    /// Name.
    pub name: Name,
    /// Usable leaves.
    pub leaves: Vec<Arc<LeafHandle>>,
    /// Who shares what may be sent again.
    pub share: Share,
    /// What this host may send again; outlives the view.
    pub allowance: Arc<Mutex<Allowance>>,
    /// Requests taken on for the set of shards that begins with this service; outlives
    /// the view.
    pub admission: Arc<Mutex<Admission>>,
}

/// What is learned of a route while it serves.
#[derive(Debug, Default)]
pub struct Learned {
    usual: Mutex<Median>,
    split: Mutex<Split>,
}

/// A leaf, its connections and how it does; outlives the view.
#[derive(Debug)]
pub struct LeafHandle {
    /// What the registry tells.
    pub leaf: Leaf,
    /// Connections to it.
    pub pool: Pool,
    /// Its id as a header's value; `None` when it can't be one.
    pub id_value: Option<HeaderValue>,
    stats: Mutex<Stats>,
}

#[derive(Debug, Default)]
struct Stats {
    pace: Pace,
    load: Option<(Load, Instant)>,
    full: Option<Instant>,
    refusals: Refusals,
    pending: Vec<Pending>,
    next: u64,
    warmup: Warmup,
    /// Whether another leaf answers at its address.
    is_gone: bool,
}

#[derive(Debug)]
struct Pending {
    ticket: u64,
    since: Instant,
    usual: Duration,
}

/// A request under way at a leaf; counts until it is dropped.
#[derive(Debug)]
pub struct Ticket {
    leaf: Arc<LeafHandle>,
    number: u64,
    since: Instant,
}

/// Locks `mutex`; a panic elsewhere does not poison what is only statistics.
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

    /// Returns how many of `services` have a leaf that can be asked.
    #[must_use]
    pub fn reachable(&self, services: &[Name]) -> usize {
        let has_leaf = |service: &&Name| !self.leaves(service).is_empty();
        services.iter().filter(has_leaf).count()
    }

    /// Returns the requests a second that a cold leaf of `service` bears.
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
            0 => UNSTATED_CONNECTIONS,
            limit => f64::from(limit),
        };
        let share = self.services.get(service).map(|service| service.share);
        let hosts = match share {
            // The others are left a part: now and then they ask leaves themselves.
            Some(Share::Among(askers)) if askers < self.hosts => askers * 2,
            _ => self.hosts,
        };
        #[expect(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "numbers of hosts and connections are small"
        )]
        let share = (limit * CONNECTION_PART / hosts.max(1) as f64) as usize;
        share.max(1)
    }
}

impl Learned {
    /// Notes how long a leaf took for a request of the route.
    pub fn note(&self, took: Duration) {
        lock(&self.usual).note(took);
    }

    /// Returns the usual time of the route's requests at a leaf.
    #[must_use]
    pub fn usual(&self) -> Option<Duration> {
        lock(&self.usual).get()
    }

    /// Returns the state of the route's split.
    pub fn split(&self) -> MutexGuard<'_, Split> {
        lock(&self.split)
    }
}

impl LeafHandle {
    /// Returns a handle for a leaf that nothing is known of.
    #[must_use]
    pub fn new(leaf: Leaf) -> Self {
        Self {
            id_value: HeaderValue::from_str(&leaf.id).ok(),
            leaf,
            pool: Pool::default(),
            stats: Mutex::default(),
        }
    }

    /// Notes how much longer the leaf stays cold.
    pub fn note_cold(&self, left: Duration, now: Instant) {
        lock(&self.stats).warmup.note(left, now);
    }

    /// Returns whether a request may be sent to it: not once another leaf answers at its
    /// address; a cold leaf that bears only `rate` requests a second gets this host's
    /// share of them.
    #[must_use]
    pub fn is_allowed(&self, rate: Option<f64>, now: Instant) -> bool {
        let stats = lock(&self.stats);
        !stats.is_gone && stats.warmup.is_allowed(rate, now)
    }

    /// Notes that another leaf answers at its address: it has ended, whatever the registry
    /// still says. Returns whether that is new.
    pub fn note_gone(&self) -> bool {
        !std::mem::replace(&mut lock(&self.stats).is_gone, true)
    }

    /// Counts a request that is about to be sent; its reply usually takes `usual`.
    #[must_use]
    pub fn begin(self: &Arc<Self>, usual: Duration, now: Instant) -> Ticket {
        let mut stats = lock(&self.stats);
        let number = stats.next;
        stats.next += 1;
        stats.pending.push(Pending {
            ticket: number,
            since: now,
            usual,
        });
        Ticket {
            leaf: Arc::clone(self),
            number,
            since: now,
        }
    }

    /// Notes a request that is sent to a leaf that bears `rate` requests a second while
    /// it is cold.
    pub fn spend_warmup(&self, rate: Option<f64>, hosts: usize, now: Instant) {
        lock(&self.stats).warmup.sent(rate, hosts, now);
    }

    /// Returns what the choice of a leaf goes by.
    #[must_use]
    pub fn candidate(&self, near: &str, now: Instant) -> Candidate {
        let stats = lock(&self.stats);
        let overdue = stats.pending.iter().map(|pending| {
            let age = now.saturating_duration_since(pending.since);
            age.as_secs_f64() / pending.usual.as_secs_f64().max(1e-4)
        });
        let overdue = overdue.fold(0.0, f64::max);
        let load = stats
            .load
            .filter(|(_, at)| now.saturating_duration_since(*at) < LOAD_AGE);
        Candidate {
            slowness: stats.pace.slowness(now),
            overdue: if overdue >= SLOW { overdue } else { 0.0 },
            in_flight: u32::try_from(stats.pending.len()).unwrap_or(u32::MAX),
            load: load.map(|(load, _)| load),
            slots: self.leaf.slots,
            is_near: &*self.leaf.domain == near,
            is_connected: self.pool.is_connected(now),
            is_full: stats
                .full
                .is_some_and(|at| now.saturating_duration_since(at) < FULL_TIME),
            refusals: stats.refusals.part(now),
        }
    }
}

impl Ticket {
    /// Returns the time since the request was sent.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Notes a reply and how long it usually takes.
    pub fn replied(&self, usual: Duration, load: Option<Load>, now: Instant) {
        let mut stats = lock(&self.leaf.stats);
        stats.pace.note(self.age(now), usual, now);
        stats.refusals.note(false, now);
        if let Some(load) = load {
            stats.load = Some((load, now));
        }
    }

    /// Notes that the leaf refused as full.
    pub fn refused(&self, now: Instant) {
        let mut stats = lock(&self.leaf.stats);
        stats.full = Some(now);
        stats.refusals.note(true, now);
    }

    /// Notes that the leaf failed the request.
    pub fn failed(&self, now: Instant) {
        lock(&self.leaf.stats).pace.note_failure(now);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        lock(&self.leaf.stats)
            .pending
            .retain(|pending| pending.ticket != self.number);
    }
}
