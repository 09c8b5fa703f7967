//! Gauges of what was learned of leaves.

use {
    crate::gateway::view::LearnedCapacity,
    eyre::Result,
    prometheus::{Gauge, GaugeVec, IntGauge, Opts, Registry},
};

/// Summary of what was learned of all leaves: one series for each leaf would be too many.
pub struct CapacityGauges {
    leaves: IntGauge,
    share: Spread,
    expected: Spread,
}

/// Lowest, median and highest of a value of many leaves.
struct Spread {
    lowest: Gauge,
    median: Gauge,
    highest: Gauge,
}

impl CapacityGauges {
    /// Registers the gauges in `registry`.
    ///
    /// # Errors
    ///
    /// Fails when another metric has the name of one.
    pub fn new(registry: &Registry) -> Result<Self> {
        let leaves = IntGauge::new(
            "briarquay_learned_leaves",
            "Leaves of which it is learned how much they take well",
        )?;
        registry.register(Box::new(leaves.clone()))?;
        Ok(Self {
            leaves,
            share: Spread::new(
                registry,
                "briarquay_leaf_capacity_ratio",
                "Requests that a leaf takes well at a time, as a share of its slots",
            )?,
            expected: Spread::new(
                registry,
                "briarquay_leaf_expected_time_ratio",
                "Expected time of a request at a leaf, as a multiple of the route's baseline",
            )?,
        })
    }

    /// Records what was learned of the leaves.
    pub fn record(&self, learned: &[LearnedCapacity]) {
        let count = i64::try_from(learned.len()).unwrap_or(i64::MAX);
        self.leaves.set(count);
        self.share
            .record(learned.iter().map(|leaf| leaf.share).collect());
        self.expected
            .record(learned.iter().map(|leaf| leaf.expected).collect());
    }
}

impl Spread {
    fn new(registry: &Registry, name: &str, help: &str) -> Result<Self> {
        let gauges = GaugeVec::new(Opts::new(name, help), &["rank"])?;
        registry.register(Box::new(gauges.clone()))?;
        let of = |rank| gauges.with_label_values(&[rank]);
        Ok(Self {
            lowest: of("lowest"),
            median: of("median"),
            highest: of("highest"),
        })
    }

    fn record(&self, mut values: Vec<f64>) {
        values.sort_by(f64::total_cmp);
        if let (Some(lowest), Some(highest)) = (values.first(), values.last()) {
            self.lowest.set(*lowest);
            self.median.set(values[values.len() / 2]);
            self.highest.set(*highest);
        }
    }
}
