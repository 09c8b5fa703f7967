//! Registry sync from another entry host that syncs from the registry.

use {
    super::{Availability, RegistrySync, wait_until},
    crate::{
        clock::{Millis, millis},
        policy::sync_source::{self, Source},
        transport::{
            fleet::{self, SyncUpdate, UpdateStream},
            registry::{Registry, RegistryUpdate},
        },
    },
    slog::info,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio_util::sync::CancellationToken,
};

impl<R: Registry> RegistrySync<R> {
    /// Syncs from the host at `source` until it stops sending or falls behind, or
    /// [`sync_source::choose_source`] returns another source.
    pub(super) async fn sync_from_host(&mut self, source: SocketAddr, stop: &CancellationToken) {
        let stream = fleet::subscribe(source, self.registry_view.revision()).await;
        let mut updates = match stream {
            Ok(updates) => updates,
            Err(status) => return self.back_off_source(source, status.message()),
        };
        info!(self.gateway.log, "registry_sync: syncing from another host"; "source" => %source,
            "revision" => self.revision.map(|revision| revision.to_string()));
        let started = Millis::now();
        self.availability = Availability::Unknown;
        while !stop.is_cancelled() && self.choose_source() == Source::Host(source) {
            let due = self.registry_view.roster.next_due();
            let update = tokio::select! {
                () = stop.cancelled() => return,
                () = wait_until(due) => {
                    self.apply_due_changes();
                    continue;
                }
                update = next_update(&mut updates) => update,
            };
            let update = match update {
                Ok(update) => update,
                Err(reason) => return self.back_off_source(source, &reason),
            };
            let known = self.registry_view.revision();
            if !update.is_full && update.revision > known && !update.revision.continues(known) {
                return self.back_off_source(source, "its changes are of another era");
            }
            let age = update.sync_status.age;
            let is_stale = sync_source::is_stale(age, Millis::now().since(started));
            self.apply_host_update(update).await;
            if !is_stale {
                continue;
            }
            // If the registry is unavailable to all hosts, another source is no better.
            let took = self.probe_registry().await;
            if took.is_some_and(|took| sync_source::should_leave(age, took)) {
                let reason = format!("its registry answered {} ms ago", millis(age));
                return self.back_off_source(source, &reason);
            }
        }
    }

    /// Returns how long the registry takes to answer this host; `None` if it does not
    /// answer, or is not called since the delay after a failed probe has not passed.
    async fn probe_registry(&mut self) -> Option<Duration> {
        let started = Millis::now();
        if started < self.probe_due {
            return None;
        }
        let response = self.registry.probe().await;
        self.gateway.metrics.record_registry_call(response.is_ok());
        let now = Millis::now();
        if response.is_ok() {
            self.failures = 0;
            return Some(now.since(started));
        }
        self.failures += 1;
        self.probe_due = now.plus(sync_source::retry_delay(self.failures));
        None
    }

    /// Applies an update from another host, with its sync status. Entries older than this
    /// host's copy are ignored.
    pub(super) async fn apply_host_update(&mut self, update: SyncUpdate) {
        let now = Millis::now();
        let contact = Millis(now.0.saturating_sub(millis(update.sync_status.age)));
        self.gateway.record_sync(contact);
        self.gateway.registry_copy.record_contact(contact);
        if !update.sync_status.suspect_left.is_zero() {
            self.registry_view
                .roster
                .extend_suspect_period(now.plus(update.sync_status.suspect_left));
            self.gateway
                .registry_copy
                .record_suspect_period(self.registry_view.roster.suspect_until());
        }
        let is_older = self.revision.is_some_and(|known| update.revision < known);
        if is_older || (update.entries.is_empty() && !update.is_full) {
            return;
        }
        info!(self.gateway.log, "registry_sync: update received"; "revision" => %update.revision,
            "before" => self.revision.map(|revision| revision.to_string()), "entries" => update.entries.len(),
            "age_ms" => millis(update.sync_status.age));
        self.registry_view.close_idle_connections(Instant::now());
        let received = RegistryUpdate {
            entries: update.entries,
            revision: update.revision,
        };
        self.apply_entries(received, update.is_full).await;
    }

    /// Backs off from `source` after it stopped sending or fell behind.
    fn back_off_source(&mut self, source: SocketAddr, reason: &str) {
        info!(self.gateway.log, "registry_sync: stopped syncing from another host"; "source" => %source,
            "reason" => reason, "revision" => self.revision.map(|revision| revision.to_string()));
        self.backoff.record_failure(source, Millis::now());
    }
}

/// Returns the next update, or why the stream ended.
async fn next_update(updates: &mut UpdateStream) -> Result<SyncUpdate, String> {
    let next = updates.next().await;
    next.map_err(|status| status.message().to_owned())
}
