//! Metrics of the ways to leaves.

use {
    eyre::Result,
    prometheus::{IntGauge, Registry},
};

/// Which leaves this host reaches.
pub struct ReachGauges {
    /// 1 while this host reaches no leaf.
    pub cut_off: IntGauge,
    /// Services that this host doesn't reach over new connections, while others do.
    pub severed_services: IntGauge,
}

impl ReachGauges {
    /// Registers the gauges.
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
        Ok(Self {
            cut_off: gauge("cut_off", "1 while this host reaches no leaf")?,
            severed_services: gauge(
                "severed_services",
                "Services that this host does not reach over new connections, while others do",
            )?,
        })
    }
}
