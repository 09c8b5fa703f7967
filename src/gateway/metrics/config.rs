//! Metrics of the configuration and of what can't be read in the registry.

use {
    eyre::Result,
    prometheus::{IntCounter, IntGauge, Registry},
};

/// The configuration in force, and what can't be read.
pub struct ConfigMetrics {
    /// Version of the routes in force.
    pub version: IntGauge,
    /// Entries, and parts of the configuration, that could not be decoded.
    pub unreadable_entries: IntCounter,
    /// 1 while the newest configuration can't be read at all.
    pub unread_routes: IntGauge,
    parts: IntGauge,
}

impl ConfigMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Fails when another metric has the same name.
    pub fn new(registry: &Registry) -> Result<Self> {
        let gauge = |name: &str, help: &str| -> Result<IntGauge> {
            let gauge = IntGauge::new(format!("briarquay_{name}"), help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let unreadable_entries = IntCounter::new(
            "briarquay_unreadable_entries_total",
            "Entries of the registry, and parts of the configuration, that could not be decoded",
        )?;
        registry.register(Box::new(unreadable_entries.clone()))?;
        Ok(Self {
            version: gauge("routes_version", "Version of the routes in force")?,
            unreadable_entries,
            unread_routes: gauge(
                "unread_routes",
                "1 while the newest configuration can't be read at all",
            )?,
            parts: gauge(
                "unreadable_parts",
                "Parts of the configuration in force that can't be read",
            )?,
        })
    }

    /// Records how many parts of the configuration in force can't be read.
    pub fn record_parts(&self, count: usize) {
        self.parts.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}
