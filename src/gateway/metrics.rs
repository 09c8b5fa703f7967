//! Counters and histograms of an entry host.

use {
    super::{crash_check::LeafCheck, crashes::EndProof},
    crate::{policy::rejection::Reason, protocol::verdict::Cause, transport::connection::End},
    eyre::Result,
    prometheus::{
        Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
        TextEncoder,
    },
    std::time::Duration,
};

mod config;
mod leaf_capacity;
mod organisations;
mod reach;
mod rollouts;

use self::{
    config::ConfigMetrics, leaf_capacity::CapacityGauges, reach::ReachGauges,
    rollouts::RolloutMetrics,
};

pub use self::organisations::{OrganisationMetrics, PlacementResult};

/// Upper bounds of the latency buckets, seconds: around the latency objectives of the
/// routes,
/// 50 ms to 600 ms.
const LATENCY_BUCKETS: [f64; 13] = [
    0.005, 0.01, 0.02, 0.035, 0.05, 0.07, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 4.0,
];

/// Metrics of one host.
pub struct Metrics {
    registry: Registry,
    responses: IntCounterVec,
    latency: HistogramVec,
    rejections: IntCounterVec,
    unanswered: IntCounterVec,
    attempts: AttemptCounters,
    /// Attempts at leaves that state a rate limit.
    limited_attempts: AttemptCounters,
    /// Claims for shares of rate limits that got no share or refusal.
    pub failed_claims: IntCounter,
    /// Connections of callers that were dropped to make room for others.
    pub dropped_connections: IntCounter,
    /// Connections that were refused since none could be dropped.
    pub refused_connections: IntCounter,
    failures: IntCounterVec,
    missing_shards: IntCounterVec,
    broken_connections: IntCounterVec,
    leaf_ends: IntCounterVec,
    subqueries: IntCounterVec,
    relays: IntCounterVec,
    /// What concerns organisations and the leaves for which they compete.
    pub organisations: OrganisationMetrics,
    registry_calls: IntCounterVec,
    /// Failures of the registry sync.
    pub failed_syncs: IntCounter,
    /// Usable leaves.
    pub leaves: IntGauge,
    /// Entry hosts that share the fleet's limits.
    pub hosts: IntGauge,
    held_requests: IntGauge,
    /// What concerns rollouts.
    pub rollouts: RolloutMetrics,
    /// The configuration in force, and what can't be read.
    pub config: ConfigMetrics,
    /// Which leaves this host reaches.
    pub reach: ReachGauges,
    /// 1 while this host syncs from another host, 0 while it syncs from the registry.
    pub follows_host: IntGauge,
    /// How much leaves take well.
    pub leaf_capacity: CapacityGauges,
}

/// Attempts by reason. Each counter is looked up once at the start, since attempts are
/// counted for each leaf of a request.
struct AttemptCounters {
    first: IntCounter,
    hedge: IntCounter,
    retry: IntCounter,
    denied: IntCounter,
}

impl AttemptCounters {
    fn get(&self, reason: AttemptReason) -> &IntCounter {
        match reason {
            AttemptReason::First => &self.first,
            AttemptReason::Hedge => &self.hedge,
            AttemptReason::Retry => &self.retry,
            AttemptReason::Denied => &self.denied,
        }
    }

    fn new(counters: &IntCounterVec) -> Self {
        let of = |reason: AttemptReason| counters.with_label_values(&[reason.name()]);
        Self {
            first: of(AttemptReason::First),
            hedge: of(AttemptReason::Hedge),
            retry: of(AttemptReason::Retry),
            denied: of(AttemptReason::Denied),
        }
    }
}

/// Why an attempt was made, or denied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptReason {
    /// The first attempt at a service.
    First,
    /// Another leaf is slow to reply.
    Hedge,
    /// Another leaf failed.
    Retry,
    /// Another leaf failed or is slow, but the retry budget is spent: no attempt is made.
    Denied,
}

impl AttemptReason {
    /// Returns the name that logs and metrics use.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Hedge => "hedge",
            Self::Retry => "retry",
            Self::Denied => "denied",
        }
    }
}

/// Outcome of delegating a subquery to another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubqueryOutcome {
    /// The host accepted it.
    Accepted,
    /// The host rejected it and sent nothing to leaves.
    Rejected,
    /// The host could not be reached, or the connection broke.
    Failed,
    /// The host did not accept it in time.
    Late,
}

impl SubqueryOutcome {
    /// Returns the name that metrics use.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "taken",
            Self::Rejected => "refused",
            Self::Failed => "failed",
            Self::Late => "late",
        }
    }
}

/// What became of a request that was handed to another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RelayOutcome {
    /// The host has sent the response.
    Answered,
    /// The host rejected it and sent nothing to leaves.
    Rejected,
    /// The host reaches no leaf of its service either.
    Unreached,
    /// The host could not be reached, or was lost.
    Failed,
    /// The host did not accept it in time.
    Late,
}

impl RelayOutcome {
    /// Returns the name that logs and metrics use.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Rejected => "rejected",
            Self::Unreached => "unreached",
            Self::Failed => "failed",
            Self::Late => "late",
        }
    }
}

impl Metrics {
    /// Returns metrics in a new Prometheus registry.
    ///
    /// # Errors
    ///
    /// Fails when two metrics have the same name.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| -> Result<IntCounterVec> {
            let options = Opts::new(format!("briarquay_{name}"), help);
            let counters = IntCounterVec::new(options, labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok(counters)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge> {
            let gauge = IntGauge::new(format!("briarquay_{name}"), help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let options = HistogramOpts::new(
            "briarquay_request_seconds",
            "Time from a request's head to its response",
        );
        let latency = HistogramVec::new(options.buckets(LATENCY_BUCKETS.to_vec()), &["route"])?;
        registry.register(Box::new(latency.clone()))?;
        let crowded = counters(
            "crowded_connections_total",
            "Connections that ended since callers held too much together, by how",
            &["result"],
        )?;
        Ok(Self {
            dropped_connections: crowded.with_label_values(&["dropped"]),
            refused_connections: crowded.with_label_values(&["refused"]),
            latency,
            responses: counters("responses_total", "Responses by status", &["status"])?,
            rejections: counters("gateway_refusals_total", "Refusals by reason", &["reason"])?,
            unanswered: counters(
                "unanswered_total",
                "Requests whose connection ended before the whole response was written, by cause",
                &["cause"],
            )?,
            attempts: AttemptCounters::new(&counters(
                "sends_total",
                "Sends to leaves by reason",
                &["reason"],
            )?),
            limited_attempts: AttemptCounters::new(&counters(
                "limited_sends_total",
                "Sends to leaves that state a rate limit, by reason",
                &["reason"],
            )?),
            failed_claims: counters(
                "limit_claims_total",
                "Claims for shares of rate limits, by result",
                &["result"],
            )?
            .with_label_values(&["failed"]),
            failures: counters("leaf_failures_total", "Failed sends by cause", &["cause"])?,
            missing_shards: counters("left_out_total", "Shards left out by route", &["route"])?,
            broken_connections: counters(
                "broken_connections_total",
                "Connections that leaves broke while they had a request, by whether the leaf runs",
                &["leaf"],
            )?,
            leaf_ends: counters(
                "leaf_ends_total",
                "Requests that leaves had when they ended, by what proves the end",
                &["proof"],
            )?,
            subqueries: counters(
                "pieces_total",
                "Pieces of requests handed to other hosts by outcome",
                &["outcome"],
            )?,
            relays: counters(
                "relays_total",
                "Requests handed to other hosts, since this one reaches no leaf, by outcome",
                &["outcome"],
            )?,
            organisations: OrganisationMetrics::new(&registry)?,
            registry_calls: counters(
                "registry_calls_total",
                "Calls to the registry by result",
                &["result"],
            )?,
            failed_syncs: counters(
                "registry_sync_failures_total",
                "Failures of the registry sync, after which it starts again",
                &["cause"],
            )?
            .with_label_values(&["panic"]),
            leaves: gauge("usable_leaves", "Leaves that may get requests")?,
            held_requests: gauge(
                "held_requests",
                "Requests that are held since they crash leaves",
            )?,
            rollouts: RolloutMetrics::new(&registry)?,
            config: ConfigMetrics::new(&registry)?,
            reach: ReachGauges::new(&registry)?,
            hosts: gauge("entry_hosts", "Entry hosts that share the fleet's limits")?,
            follows_host: gauge(
                "follows_host",
                "1 while another host is followed, 0 while the registry is",
            )?,
            leaf_capacity: CapacityGauges::new(&registry)?,
            registry,
        })
    }

    /// Records a response: its route, status, latency and the number of its missing shards.
    pub fn record_response(&self, route: &str, status: u16, took: Duration, missing: usize) {
        self.responses
            .with_label_values(&[status.to_string().as_str()])
            .inc();
        self.latency
            .with_label_values(&[route])
            .observe(took.as_secs_f64());
        if missing > 0 {
            let missing = u64::try_from(missing).unwrap_or(u64::MAX);
            self.missing_shards
                .with_label_values(&[route])
                .inc_by(missing);
        }
    }

    /// Records a connection that a leaf broke while it had a request.
    pub fn record_broken_connection(&self, check: &LeafCheck) {
        let broken = &self.broken_connections;
        broken.with_label_values(&[check.name()]).inc();
    }

    /// Records a request that a leaf had when it ended.
    pub fn record_leaf_end(&self, proof: EndProof) {
        self.leaf_ends.with_label_values(&[proof.name()]).inc();
    }

    /// Records what became of a request that was handed to another host.
    pub fn record_relay(&self, outcome: RelayOutcome) {
        self.relays.with_label_values(&[outcome.name()]).inc();
    }

    /// Records how many requests are held since they crash leaves.
    pub fn record_held_requests(&self, count: usize) {
        self.held_requests
            .set(i64::try_from(count).unwrap_or(i64::MAX));
    }

    /// Records a rejected request.
    pub fn record_rejection(&self, reason: Reason) {
        self.rejections.with_label_values(&[reason.name()]).inc();
    }

    /// Records a request whose connection ended before the whole response was written.
    pub fn record_unanswered(&self, end: End) {
        self.unanswered.with_label_values(&[end.name()]).inc();
    }

    /// Returns the number of requests whose connection ended so because of `end`.
    #[must_use]
    pub fn unanswered_count(&self, end: End) -> u64 {
        self.unanswered.with_label_values(&[end.name()]).get()
    }

    /// Records an attempt, or one that was denied.
    pub fn record_attempt(&self, reason: AttemptReason) {
        self.attempts.get(reason).inc();
    }

    /// Records an attempt at a leaf that states a rate limit.
    pub fn record_limited_attempt(&self, reason: AttemptReason) {
        self.limited_attempts.get(reason).inc();
    }

    /// Records a failed attempt: it got no reply that can be passed on.
    pub fn record_failed_attempt(&self, cause: Cause) {
        self.failures.with_label_values(&[cause.name()]).inc();
    }

    /// Records the outcome of delegating a subquery to another host.
    pub fn record_subquery(&self, outcome: SubqueryOutcome) {
        self.subqueries.with_label_values(&[outcome.name()]).inc();
    }

    /// Records a call to the registry and whether it succeeded.
    pub fn record_registry_call(&self, is_ok: bool) {
        let result = if is_ok { "ok" } else { "failed" };
        self.registry_calls.with_label_values(&[result]).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails when a metric can't be encoded.
    pub fn text(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
