//! Metrics of what concerns organisations and the leaves for which they compete.

use {
    crate::gateway::quotas::QuotaOutcome,
    eyre::Result,
    prometheus::{IntCounterVec, IntGauge, Opts, Registry},
};

/// Metrics of organisations.
pub struct OrganisationMetrics {
    authorizations: IntCounterVec,
    /// Milliseconds for which changes of the registry may be missing in this host's copy, as far as
    /// it is proven; -1 without a proof.
    pub proof_age: IntGauge,
    placements: IntCounterVec,
    quotas: IntCounterVec,
    quota_grants: IntCounterVec,
}

/// What became of a request that needs a place at a leaf.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementResult {
    /// It got one.
    Placed,
    /// It can't be answered in time.
    Refused,
    /// This host chose the leaf without the placer.
    Without,
}

impl PlacementResult {
    /// Returns the name that metrics use.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Placed => "placed",
            Self::Refused => "refused",
            Self::Without => "without",
        }
    }
}

impl OrganisationMetrics {
    /// Registers the metrics in `registry`.
    ///
    /// # Errors
    ///
    /// Fails when another metric has the name of one.
    pub fn new(registry: &Registry) -> Result<Self> {
        let counters = |name: &str, help: &str, label: &str| -> Result<IntCounterVec> {
            let counters = IntCounterVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(counters.clone()))?;
            Ok(counters)
        };
        let proof_age = IntGauge::new(
            "briarquay_copy_proof_age_ms",
            "Age of the proof that the copy of the registry is current; -1 without one",
        )?;
        registry.register(Box::new(proof_age.clone()))?;
        Ok(Self {
            authorizations: counters(
                "briarquay_authorizations_total",
                "Requests whose caller was checked, by outcome",
                "outcome",
            )?,
            proof_age,
            placements: counters(
                "briarquay_placements_total",
                "Requests that need a place at a leaf, by result",
                "result",
            )?,
            quotas: counters(
                "briarquay_quota_requests_total",
                "Requests of organisations with a quota, by what was decided",
                "outcome",
            )?,
            quota_grants: counters(
                "briarquay_quota_grants_total",
                "Requests for which this host was asked as an allocator, by result",
                "result",
            )?,
        })
    }

    /// Records that the caller of a request was checked.
    pub fn record_authorization(&self, outcome: &str) {
        self.authorizations.with_label_values(&[outcome]).inc();
    }

    /// Counts a request that needs a place at a leaf.
    pub fn record_placement(&self, result: PlacementResult) {
        self.placements.with_label_values(&[result.name()]).inc();
    }

    /// Records how the quota of a request was decided.
    pub fn record_quota(&self, outcome: QuotaOutcome) {
        self.quotas.with_label_values(&[outcome.name()]).inc();
    }

    /// Records what a claim got from this host, as an allocator.
    pub fn record_quota_grant(&self, granted: u32, denied: u32) {
        for (result, count) in [("granted", granted), ("denied", denied)] {
            let counter = self.quota_grants.with_label_values(&[result]);
            counter.inc_by(u64::from(count));
        }
    }
}
