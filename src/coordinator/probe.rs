//! Probes of targets and polls of the host list, outside the path of queries.

use {
    super::Coordinator,
    crate::{
        settings::Routing,
        state::catalog::LeafEntry,
        timer::Timer,
        transport::{
            hosts::leaving_hosts,
            store::{HttpStore, Store},
        },
    },
    std::{sync::Arc, time::Duration},
    tokio::{
        task::JoinSet,
        time::{Instant, sleep},
    },
};

/// Interval between probes of a leaf.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between polls of the host list.
const HOSTS_INTERVAL: Duration = Duration::from_secs(1);

impl<S: Store> Coordinator<S> {
    /// Probes the status of every leaf that this daemon owns, at each interval.
    pub async fn run_probes(self: Arc<Self>, timer: Timer) {
        let mut ticks = timer.subscribe(PROBE_INTERVAL);
        while ticks.next_tick().await.is_some() {
            let mut probes = JoinSet::new();
            for leaf in self.leaves_to_probe() {
                let shared = Arc::clone(&self.shared);
                probes.spawn(async move {
                    let deadline = Instant::now() + PROBE_TIMEOUT;
                    if let Some(status) = shared.targets.probe(&leaf, deadline).await {
                        shared.leaves.record_status(&leaf, &status);
                    }
                });
            }
            while probes.join_next().await.is_some() {}
            if self.shared.settings.routing == Routing::Direct {
                self.record_own_versions();
            }
        }
    }

    fn leaves_to_probe(&self) -> Vec<Arc<LeafEntry>> {
        let view = self.shared.view();
        let is_own = |leaf: &LeafEntry| self.shared.leaves.gate_status(leaf).open;
        let leaves = view.catalog.leaves.values();
        leaves.filter(|leaf| is_own(leaf)).cloned().collect()
    }

    /// Records the versions that this daemon's own probes found: with direct routing no
    /// owner reports them.
    fn record_own_versions(&self) {
        let view = self.shared.view();
        let ranges = self
            .shared
            .leaves
            .version_ranges(view.catalog.leaves.values().map(AsRef::as_ref));
        let own = &self.shared.settings.id;
        let now = crate::clock::Millis::now();
        self.shared.versions.record_report(own, &ranges, now);
    }

    /// Polls the platform's host list while this daemon is one of the few that do so.
    pub async fn run_hosts(self: Arc<Self>, platform: HttpStore) {
        loop {
            if self.is_watcher("hosts")
                && let Ok(leaving) = leaving_hosts(&platform).await
            {
                self.set_leaving(leaving.clone());
                self.lock().set_leaving_targets(leaving);
            }
            sleep(HOSTS_INTERVAL).await;
        }
    }
}
