//! Metrics of one daemon.

use {
    crate::protocol::verdict::{Cause, Verdict},
    eyre::Result,
    prometheus::{
        Encoder, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
        TextEncoder,
    },
    std::time::Duration,
};

/// Upper bounds of the latency buckets, seconds.
const LATENCY_BUCKETS_S: [f64; 14] = [
    0.001, 0.002, 0.004, 0.008, 0.012, 0.02, 0.03, 0.05, 0.08, 0.12, 0.18, 0.3, 1.0, 5.0,
];

/// Upper bounds of the coverage buckets, as ratios.
const COVERAGE_BUCKETS: [f64; 8] = [0.0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1.0];

/// Metrics of one daemon.
pub struct Metrics {
    registry: Registry,
    /// Time from a query to its response, seconds.
    pub latency: Histogram,
    /// Coverage of responses, as a ratio of the shards.
    pub coverage: Histogram,
    /// Sub-requests sent to targets.
    pub sent: IntCounter,
    /// Hedges: sub-requests sent to a second replica because the first was late.
    pub hedges: IntCounter,
    /// Retries: sub-requests sent again because the first failed.
    pub retries: IntCounter,
    /// Queries restarted from the beginning on another snapshot or layout.
    pub restarts: IntCounter,
    /// Replies discarded because of their snapshot.
    pub discarded: IntCounter,
    /// Envelopes of messages to other daemons that got no reply.
    pub lost_messages: IntCounter,
    /// Bytes of coordination messages sent, and received as replies, without framing.
    pub control_bytes: IntCounter,
    /// Configuration revision in force.
    pub revision: IntGauge,
    /// Epoch of the member list in force.
    pub epoch: IntGauge,
    /// Leaves that this daemon owns.
    pub owned: IntGauge,
    /// Leaves that this daemon is about to take over.
    pub pending: IntGauge,
    /// 1 while this daemon holds its lease, otherwise 0.
    pub leased: IntGauge,
    refused: IntCounterVec,
    missing: IntCounterVec,
}

impl Metrics {
    /// Registers the metrics in a new registry.
    ///
    /// # Errors
    ///
    /// Fails when two metrics have the same name.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let counter = |name: &str, help: &str| -> Result<IntCounter> {
            let counter = IntCounter::new(format!("briarquay_{name}"), help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge> {
            let gauge = IntGauge::new(format!("briarquay_{name}"), help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let histogram = |name: &str, help: &str, buckets: &[f64]| -> Result<Histogram> {
            let options = HistogramOpts::new(format!("briarquay_{name}"), help);
            let histogram = Histogram::with_opts(options.buckets(buckets.to_vec()))?;
            registry.register(Box::new(histogram.clone()))?;
            Ok(histogram)
        };
        let labelled = |name: &str, help: &str, label: &str| -> Result<IntCounterVec> {
            let options = Opts::new(format!("briarquay_{name}"), help);
            let counters = IntCounterVec::new(options, &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok(counters)
        };
        Ok(Self {
            latency: histogram(
                "query_seconds",
                "Time from a query to its answer",
                &LATENCY_BUCKETS_S,
            )?,
            coverage: histogram(
                "coverage_share",
                "Share of shards in answers",
                &COVERAGE_BUCKETS,
            )?,
            sent: counter("leaf_requests_total", "Sub-requests sent to targets")?,
            hedges: counter("hedges_total", "Sub-requests sent to a second replica")?,
            retries: counter("retries_total", "Sub-requests sent again after a failure")?,
            restarts: counter("restarts_total", "Queries started again whole")?,
            discarded: counter(
                "discarded_replies_total",
                "Replies discarded because of their snapshot",
            )?,
            lost_messages: counter(
                "lost_parcels_total",
                "Parcels to other daemons that got no reply",
            )?,
            control_bytes: counter(
                "control_bytes_total",
                "Bytes of coordination messages, both ways, frames left out",
            )?,
            revision: gauge("configuration_revision", "Configuration revision in force")?,
            epoch: gauge("member_epoch", "Epoch of the member list in force")?,
            owned: gauge("owned_leaves", "Leaves that this daemon owns")?,
            pending: gauge("pending_leaves", "Leaves waiting to be taken over")?,
            leased: gauge("lease_held", "1 while the lease holds")?,
            refused: labelled("refusals_total", "Refused requests by verdict", "run")?,
            missing: labelled("missing_shards_total", "Missing shards by cause", "cause")?,
            registry,
        })
    }

    /// Records the latency and the coverage of a response.
    pub fn answered(&self, took: Duration, answered: u32, total: u32) {
        self.latency.observe(took.as_secs_f64());
        self.coverage
            .observe(f64::from(answered) / f64::from(total.max(1)));
    }

    /// Counts a rejected request.
    pub fn refused(&self, verdict: Verdict) {
        self.refused
            .with_label_values(&[&verdict.to_string()])
            .inc();
    }

    /// Counts a shard that is missing from a response.
    pub fn missing(&self, cause: Cause) {
        self.missing.with_label_values(&[cause.name()]).inc();
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
