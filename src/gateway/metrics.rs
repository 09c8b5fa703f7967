//! Counters and histograms of an entry host.

use {
    crate::{policy::refuse::Reason, protocol::verdict::Cause},
    eyre::Result,
    prometheus::{
        Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
        TextEncoder,
    },
    std::time::Duration,
};

/// Upper bounds of the latency buckets, seconds: around the aims of the routes, 50 ms to
/// 600 ms.
const LATENCY_BUCKETS: [f64; 13] = [
    0.005, 0.01, 0.02, 0.035, 0.05, 0.07, 0.1, 0.15, 0.25, 0.4, 0.6, 1.0, 4.0,
];

/// Metrics of one host.
pub struct Metrics {
    registry: Registry,
    answers: IntCounterVec,
    latency: HistogramVec,
    refusals: IntCounterVec,
    sends: Sends,
    failures: IntCounterVec,
    missing: IntCounterVec,
    pieces: IntCounterVec,
    registry_calls: IntCounterVec,
    /// Version of the routes in force.
    pub version: IntGauge,
    /// Usable leaves.
    pub leaves: IntGauge,
    /// Entry hosts that share the fleet's limits.
    pub hosts: IntGauge,
    /// 1 while this host learns from another host, 0 while from the registry itself.
    pub following: IntGauge,
}

/// Sends by reason, each counter looked up once: it is counted for each leaf.
struct Sends {
    first: IntCounter,
    hedge: IntCounter,
    retry: IntCounter,
    denied: IntCounter,
}

impl Sends {
    fn new(all: &IntCounterVec) -> Self {
        let of = |send: Send| all.with_label_values(&[send.name()]);
        Self {
            first: of(Send::First),
            hedge: of(Send::Hedge),
            retry: of(Send::Retry),
            denied: of(Send::Denied),
        }
    }
}

/// Why a request was sent to a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Send {
    /// It is the first.
    First,
    /// Another leaf is late.
    Hedge,
    /// Another leaf failed.
    Retry,
    /// Another leaf failed or is late, but nothing is left of the allowance.
    Denied,
}

impl Send {
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

/// How handing some shards of a request to another host went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handed {
    /// It took them on.
    Taken,
    /// It said that it asks no leaf.
    Refused,
    /// It could not be reached, or the connection broke.
    Failed,
    /// It did not say in time that it takes them on.
    Late,
}

impl Handed {
    /// Returns the name that metrics use.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Taken => "taken",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Late => "late",
        }
    }
}

impl Metrics {
    /// Returns metrics in a registry of their own.
    ///
    /// # Errors
    ///
    /// Fails when two metrics have one name.
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
        Ok(Self {
            latency,
            answers: counters("responses_total", "Responses by status", &["status"])?,
            refusals: counters("gateway_refusals_total", "Refusals by reason", &["reason"])?,
            sends: Sends::new(&counters(
                "sends_total",
                "Sends to leaves by reason",
                &["reason"],
            )?),
            failures: counters("leaf_failures_total", "Failed sends by cause", &["cause"])?,
            missing: counters("left_out_total", "Shards left out by route", &["route"])?,
            pieces: counters(
                "pieces_total",
                "Pieces of requests handed to other hosts by outcome",
                &["outcome"],
            )?,
            registry_calls: counters(
                "registry_calls_total",
                "Calls to the registry by result",
                &["result"],
            )?,
            version: gauge("routes_version", "Version of the routes in force")?,
            leaves: gauge("usable_leaves", "Leaves that may get requests")?,
            hosts: gauge("entry_hosts", "Entry hosts that share the fleet's limits")?,
            following: gauge(
                "follows_host",
                "1 while another host is followed, 0 while the registry is",
            )?,
            registry,
        })
    }

    /// Notes a response.
    pub fn answered(&self, route: &str, status: u16, took: Duration, missing: usize) {
        self.answers
            .with_label_values(&[status.to_string().as_str()])
            .inc();
        self.latency
            .with_label_values(&[route])
            .observe(took.as_secs_f64());
        if missing > 0 {
            let missing = u64::try_from(missing).unwrap_or(u64::MAX);
            self.missing.with_label_values(&[route]).inc_by(missing);
        }
    }

    /// Notes a refusal.
    pub fn refused(&self, reason: Reason) {
        self.refusals.with_label_values(&[reason.name()]).inc();
    }

    /// Notes a send, or one that was denied.
    pub fn sent(&self, send: Send) {
        match send {
            Send::First => &self.sends.first,
            Send::Hedge => &self.sends.hedge,
            Send::Retry => &self.sends.retry,
            Send::Denied => &self.sends.denied,
        }
        .inc();
    }

    /// Notes a send without a reply that can be passed on.
    pub fn failed(&self, cause: Cause) {
        self.failures.with_label_values(&[cause.name()]).inc();
    }

    /// Notes how handing a piece to another host went.
    pub fn handed(&self, outcome: Handed) {
        self.pieces.with_label_values(&[outcome.name()]).inc();
    }

    /// Notes a call to the registry.
    pub fn called(&self, is_ok: bool) {
        let result = if is_ok { "ok" } else { "failed" };
        self.registry_calls.with_label_values(&[result]).inc();
    }

    /// Returns all metrics in Prometheus's text format.
    ///
    /// # Errors
    ///
    /// Fails when a metric can't be written.
    pub fn text(&self) -> Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
