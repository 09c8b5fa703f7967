//! Registry sync: keeps this host's copy of the registry current and publishes it as a view.
//!
//! The source is the registry or another entry host, as
//! [`policy::sync_source`](crate::policy::sync_source) chooses. While the registry is
//! unavailable, other hosts are queried as well, since one of them may have a newer copy.

use {
    super::{Gateway, crashes::CopyKind, registration::OwnEntry, registry_view::RegistryView},
    crate::{
        clock::{Millis, millis},
        policy::sync_source::{self, Source, SourceBackoff},
        state::{
            copy_proof::Proof,
            revision::{Lease, Revision},
            roster::{Member, RosterChange},
        },
        transport::{
            fleet::{self, ChangeBatch, EncodedEntries, SyncStatus, SyncUpdate},
            registry::{DecodedEntries, ReadConsistency, Registry, RegistryError, RegistryUpdate},
        },
    },
    rand::seq::IndexedRandom,
    slog::{info, warn},
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::watch, time::sleep},
    tokio_util::sync::CancellationToken,
};

mod calls;
mod host_source;

use self::calls::ProvenUpdate;

/// Delay of a host without routes after a failed call.
const START_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The same once many calls have failed in a row.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Entries that are decoded before the task yields to requests: some hundred microseconds of
/// work on a whole core.
const DECODE_BATCH_SIZE: usize = 64;

/// Task that keeps this host's copy of the registry current.
pub struct RegistrySync<R> {
    gateway: Arc<Gateway>,
    registry: Arc<R>,
    /// This host's copy of the registry.
    registry_view: RegistryView,
    /// Revision up to which the copy is complete; `None` when a full read is due.
    revision: Option<Revision>,
    /// Consistency of the next full read.
    consistency: ReadConsistency,
    availability: Availability,
    /// Calls in a row that the registry did not answer.
    failures: u32,
    /// When a host that syncs from another host may call the registry again.
    probe_due: Millis,
    backoff: SourceBackoff,
    /// Tells the registration task about this host's own entry, at the start and after each
    /// restore of the registry.
    own_entry: watch::Sender<Option<OwnEntry>>,
}

/// Whether the registry answers this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Availability {
    /// It answered the last call, or none was made.
    Available,
    /// This host has synced from another host since its last call. The registry may hang,
    /// and lease renewals, which would detect that, were further apart.
    Unknown,
    /// The last call failed.
    Unavailable,
}

impl<R: Registry> RegistrySync<R> {
    /// Returns a sync task with an empty copy. `own_entry` receives what the first update, and
    /// the first one after each restore of the registry, has of this host.
    #[must_use]
    pub fn new(
        gateway: Arc<Gateway>,
        registry: Arc<R>,
        own_entry: watch::Sender<Option<OwnEntry>>,
    ) -> Self {
        Self {
            gateway,
            registry,
            registry_view: RegistryView::default(),
            revision: None,
            consistency: ReadConsistency::Stale,
            availability: Availability::Available,
            failures: 0,
            probe_due: Millis::default(),
            backoff: SourceBackoff::default(),
            own_entry,
        }
    }

    /// Syncs from the registry or from another host until `stop`.
    pub async fn run(mut self, stop: CancellationToken) {
        while !stop.is_cancelled() {
            match self.choose_source() {
                Source::Registry => {
                    if self.registry_view.revision().is_initial() {
                        self.sync_from_seed(&stop).await;
                    }
                    if self.registry_view.revision().is_initial()
                        || self.choose_source() == Source::Registry
                    {
                        self.sync_from_registry(&stop).await;
                    }
                }
                Source::Host(address) => self.sync_from_host(address, &stop).await,
            }
        }
    }

    /// Chooses the source for the next update and records it.
    fn choose_source(&self) -> Source {
        let settings = &self.gateway.settings;
        let members = self.registry_view.roster.members();
        // Updates from another host build on a copy, which has to be read first.
        let source = match self.revision {
            None => Source::Registry,
            Some(_) => sync_source::choose_source(
                &settings.id,
                &settings.domain,
                members,
                &self.backoff,
                Millis::now(),
            ),
        };
        self.gateway.record_source(source);
        source
    }

    /// Copies the registry from a seed, if the fleet is large and a seed answers: otherwise
    /// the full reads of many hosts that start at once would fill the registry's network
    /// link. In a small fleet a full read ends before a seed has started.
    async fn sync_from_seed(&mut self, stop: &CancellationToken) {
        let seeds = &self.gateway.reloaded().seeds;
        let own = self.gateway.settings.peer_address;
        if seeds.is_empty() || own.is_some_and(|own| seeds.contains(&own)) {
            return;
        }
        let reading = async {
            let is_large = self.registry.has_many_hosts(self.read_timeout()).await;
            self.gateway.metrics.record_registry_call(is_large.is_ok());
            // If the registry does not answer, another host may have a copy.
            if is_large.unwrap_or(true) {
                fleet::initial_sync(seeds, own).await
            } else {
                None
            }
        };
        let copied = tokio::select! {
            () = stop.cancelled() => return,
            copied = reading => copied,
        };
        let Some((source, copy)) = copied else {
            info!(self.gateway.log, "registry_sync: received no copy of the registry from a seed";
                "seeds" => seeds.len());
            return;
        };
        let SyncStatus { age, suspect_left } = copy.sync_status;
        info!(self.gateway.log, "registry_sync: received a copy of the registry from another host";
            "peer" => %source, "revision" => %copy.revision, "before" => self.revision.map(|revision| revision.to_string()),
            "entries" => copy.entries.get().len(), "age_ms" => millis(age));
        if sync_source::is_recent(age) {
            self.apply_host_update(SyncUpdate {
                entries: copy.entries.get().to_vec(),
                revision: copy.revision,
                is_full: true,
                sync_status: SyncStatus { age, suspect_left },
            })
            .await;
        }
    }

    /// Makes one call to the registry and applies its result, then waits for the delay
    /// before the next. Applies deferred changes instead if they are due first.
    async fn sync_from_registry(&mut self, stop: &CancellationToken) {
        let due = self.registry_view.roster.next_due();
        let mut contacts = self.gateway.registry_contact.subscribe();
        let result = tokio::select! {
            () = stop.cancelled() => return,
            () = wait_until(due) => {
                self.apply_due_changes();
                return;
            }
            result = self.call_registry(&mut contacts) => result,
        };
        self.gateway.metrics.record_registry_call(result.is_ok());
        let delay = match result {
            Ok(proven) => self.apply_registry_update(proven).await,
            Err(error) => self.handle_failed_call(&error).await,
        };
        tokio::select! {
            () = sleep(delay) => {}
            // There is nothing to wait for once the registry is available.
            Ok(_) = contacts.wait_for(|contact| !contact.is_lost),
                if self.availability == Availability::Unavailable && contacts.borrow().is_lost => {}
        }
    }

    /// Applies an update from the registry; returns the delay before the next call.
    async fn apply_registry_update(&mut self, proven: ProvenUpdate) -> Duration {
        let ProvenUpdate { update, sent_at } = proven;
        let now = Millis::now();
        self.failures = 0;
        self.gateway.record_sync(now);
        self.gateway.registry_copy.record_contact(now);
        self.registry_view.close_idle_connections(Instant::now());
        let before = std::mem::replace(&mut self.availability, Availability::Available);
        if before == Availability::Unavailable {
            info!(self.gateway.log, "registry_sync: registry is available again";
                "revision" => %update.revision);
        }
        let is_full = self.revision.is_none();
        if let Some(delay) = self.discard_of_other_era(update.revision) {
            return delay;
        }
        if let Some(sent_at) = sent_at {
            let revision = update.revision;
            let proof = Proof { sent_at, revision };
            self.gateway.copy_proofs().record_proof(proof);
        }
        info!(self.gateway.log, "registry_sync: update received"; "revision" => %update.revision,
            "before" => self.revision.map(|revision| revision.to_string()), "entries" => update.entries.len());
        let is_changed = self.apply_entries(update, is_full).await;
        if is_changed && !is_full {
            sync_source::watch_delay(self.gateway.settings.apply_timeout)
        } else {
            Duration::ZERO
        }
    }

    /// Discards an update of the registry that doesn't continue this host's copy, since the
    /// registry was restored from an older one; returns the delay before the next call.
    fn discard_of_other_era(&mut self, received: Revision) -> Option<Duration> {
        let known = self.registry_view.revision();
        let delay = match self.revision {
            // Changes under the same revisions as before are missing from the update.
            Some(revision) if !received.continues(revision) => Duration::ZERO,
            // A read that may be stale is from before the restore.
            None if received.era < known.era => RETRY_DELAY,
            _ => return None,
        };
        info!(self.gateway.log, "registry_sync: registry was restored from an older copy; reading all entries";
            "revision" => %received, "before" => %known);
        self.consistency = ReadConsistency::Current;
        self.revision = None;
        Some(delay)
    }

    /// Returns whether an update to `received` is the first one, or the first one after a
    /// restore of the registry.
    fn is_first_of_era(&self, received: Revision) -> bool {
        let known = self.registry_view.revision();
        known.is_initial() || !received.continues(known)
    }

    /// Returns what an update of the registry has of this host: its lease, if its entry has the
    /// present settings. An earlier process wrote it, or this one did before a restore. The
    /// roster keeps entries that a restored registry lacks for a while.
    fn find_own_entry(&self, era: u64, changes: &[RosterChange]) -> OwnEntry {
        let settings = &self.gateway.settings;
        let is_kept = |member: &&Member| {
            member.id == settings.id
                && member.lease > 0
                && (Some(member.address), &member.domain, member.millicores)
                    == (settings.peer_address, &settings.domain, settings.millicores)
        };
        let mut members = changes.iter().filter_map(|change| match change {
            RosterChange::Member(member) => Some(member),
            _ => None,
        });
        let own = members.rfind(is_kept);
        OwnEntry {
            era,
            lease: own.map(|own| Lease { id: own.lease, era }),
        }
    }

    /// Applies the deferred changes that are due.
    fn apply_due_changes(&mut self) {
        let now = Millis::now();
        let changed = self.registry_view.roster.apply_due_changes(now);
        self.gateway.prove_ends(&self.registry_view.roster);
        if changed.leaves || changed.members {
            self.gateway
                .publish_view(self.registry_view.build_view(&self.gateway, now));
        }
    }

    /// Applies the entries of `update`, which are the whole registry if `is_full`.
    /// Publishes a view and returns true if they changed it.
    async fn apply_entries(&mut self, update: RegistryUpdate, is_full: bool) -> bool {
        let mut changes = DecodedEntries::default();
        for entries in update.entries.chunks(DECODE_BATCH_SIZE) {
            changes.extend(self.registry.decode(entries));
            tokio::task::yield_now().await;
        }
        let now = Millis::now();
        let is_first_of_era = self.is_first_of_era(update.revision);
        if is_first_of_era && !self.registry_view.revision().is_initial() {
            // Entries may be missing until they are written again.
            self.registry_view.roster.record_outage(now);
            self.gateway
                .registry_copy
                .record_suspect_period(self.registry_view.roster.suspect_until());
        }
        let batch = self
            .revision
            .filter(|_| !is_full)
            .map(|before| ChangeBatch {
                before,
                revision: update.revision,
                entries: Arc::new(EncodedEntries::new(update.entries.clone())),
            });
        self.revision = Some(update.revision);
        if is_first_of_era {
            let own = self.find_own_entry(update.revision.era, &changes.roster_changes);
            self.own_entry.send_replace(Some(own));
        }
        let gateway = &self.gateway;
        let copy = is_full.then_some(if is_first_of_era {
            CopyKind::Restored
        } else {
            CopyKind::Current
        });
        let crash_changes = std::mem::take(&mut changes.crash_changes);
        if is_full || !crash_changes.is_empty() {
            gateway.apply_crash_changes(crash_changes, copy);
        }
        let has_routes = changes.routes.is_some() || changes.has_unread_routes;
        let rollout_changes = std::mem::take(&mut changes.rollout_changes);
        gateway.apply_rollout_changes(rollout_changes, is_full);
        let is_changed = self
            .registry_view
            .apply_changes(gateway, changes, is_full, now);
        // Before the view has new leaves that would get the requests.
        gateway.prove_ends(&self.registry_view.roster);
        self.registry_view
            .store_entries(update, is_full, has_routes);
        if is_changed {
            gateway.publish_view(self.registry_view.build_view(gateway, now));
        }
        let (copy, routes) = (
            self.registry_view.revision(),
            self.registry_view.routes_at(),
        );
        // What can't be read isn't applied, so nothing proves the copy to have it.
        if !self.registry_view.has_unread_routes() {
            gateway.copy_proofs().record_copy(copy, routes);
        }
        gateway
            .registry_copy
            .replace(self.registry_view.registry_state(), batch);
        is_changed
    }

    /// Handles a failed call to the registry; returns the delay before the next.
    async fn handle_failed_call(&mut self, error: &RegistryError) -> Duration {
        self.registry_view.roster.record_outage(Millis::now());
        self.gateway
            .registry_copy
            .record_suspect_period(self.registry_view.roster.suspect_until());
        if *error == RegistryError::Compacted {
            info!(self.gateway.log, "registry_sync: registry history is gone; reading all entries";
                "after" => self.revision.map(|revision| revision.to_string()));
            // A read that may be stale could return a revision from before the gap again.
            self.consistency = ReadConsistency::Current;
            self.revision = None;
            return Duration::ZERO;
        }
        let before = std::mem::replace(&mut self.availability, Availability::Unavailable);
        if before != Availability::Unavailable {
            warn!(self.gateway.log, "registry_sync: registry is unavailable"; "error" => %error,
                "revision" => self.revision.map(|revision| revision.to_string()));
        }
        self.failures += 1;
        self.sync_from_peer().await;
        if self.is_starting() {
            START_RETRY_DELAY
        } else if self.registry_view.has_routes() {
            sync_source::retry_delay(self.failures)
        } else {
            RETRY_DELAY
        }
    }

    /// Copies the registry from a random other host, if its copy is newer.
    async fn sync_from_peer(&mut self) {
        let peers = self.registry_view.peers(&self.gateway);
        let Some(peer) = peers.choose(&mut rand::rng()) else {
            return;
        };
        let revision = self.registry_view.revision();
        let own = self.gateway.settings.peer_address;
        let asked_at = Millis::now();
        match fleet::fetch_state(*peer, revision, Duration::ZERO, own).await {
            Ok(copy) if copy.revision > revision => {
                info!(self.gateway.log, "registry_sync: received a copy of the registry from another host";
                    "peer" => %peer, "revision" => %copy.revision, "before" => %revision,
                    "entries" => copy.entries.get().len());
                self.gateway.record_sync(Millis::now());
                self.registry_view.set_reported_peers(&copy.peers);
                let age = copy.sync_status.age;
                let update = RegistryUpdate {
                    entries: copy.entries.get().to_vec(),
                    revision: copy.revision,
                };
                self.apply_entries(update, true).await;
                self.gateway.record_confirmation(asked_at, age);
            }
            Ok(copy) => {
                self.gateway.record_sync(Millis::now());
                if copy.revision.continues(revision) {
                    let age = copy.sync_status.age;
                    self.gateway.record_confirmation(asked_at, age);
                }
                self.registry_view.set_reported_peers(&copy.peers);
            }
            Err(error) => {
                info!(self.gateway.log, "registry_sync: another host did not respond"; "peer" => %peer,
                    "error" => error.message());
            }
        }
    }
}

/// Waits until `due`; never returns without it.
async fn wait_until(due: Option<Millis>) {
    match due {
        Some(due) => sleep(due.since(Millis::now())).await,
        None => std::future::pending().await,
    }
}
