//! Metrics of rollouts.

use {
    crate::state::rollouts::Phase,
    eyre::Result,
    prometheus::{IntCounterVec, IntGauge, Opts, Registry},
};

/// Metrics of rollouts.
pub struct RolloutMetrics {
    sends: IntCounterVec,
    stages: IntCounterVec,
    reports: IntCounterVec,
    /// 1 while this host drives rollouts.
    pub is_driver: IntGauge,
}

impl RolloutMetrics {
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
        let is_driver = IntGauge::new(
            "briarquay_drives_rollouts",
            "1 while this host drives rollouts",
        )?;
        registry.register(Box::new(is_driver.clone()))?;
        Ok(Self {
            sends: counters(
                "briarquay_rollout_sends_total",
                "Sends to leaves of services that are rolled out, by version",
                "version",
            )?,
            stages: counters(
                "briarquay_rollout_stages_total",
                "Stages of rollouts that this host decided",
                "stage",
            )?,
            reports: counters(
                "briarquay_rollout_reports_total",
                "Reports by result",
                "result",
            )?,
            is_driver,
        })
    }

    /// Records a send to a leaf of a service that is rolled out.
    pub fn record_send(&self, is_target: bool) {
        let version = if is_target { "target" } else { "former" };
        self.sends.with_label_values(&[version]).inc();
    }

    /// Records a stage that this host decided.
    pub fn record_stage(&self, phase: Phase) {
        let stages = &self.stages;
        stages.with_label_values(&[phase.name()]).inc();
    }

    /// Records a report to the driver and whether it succeeded.
    pub fn record_report(&self, is_ok: bool) {
        let result = if is_ok { "ok" } else { "failed" };
        self.reports.with_label_values(&[result]).inc();
    }
}
