//! This host's copy of the registry as it is served to followers and to starting hosts.

use {
    super::entries::EncodedEntries,
    crate::{clock::Millis, state::revision::Revision},
    std::{
        collections::VecDeque,
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::{
        sync::{Notify, watch},
        time::timeout,
    },
};

/// Changed entries that are kept for followers: as many as a reshard of some hundred shards
/// changes in the seconds between two updates. A follower that is further behind gets a full
/// copy.
const MAX_RECENT_ENTRIES: usize = 4_096;

/// Full copies that are sent within [`FULL_SYNC_TIME`]: a thousand leaves compress to some
/// 30 KB, and the slowest links carry 5 MB a second.
const MAX_FULL_SYNCS: usize = 32;

/// Time for which a full copy counts against [`MAX_FULL_SYNCS`].
const FULL_SYNC_TIME: Duration = Duration::from_secs(1);

/// The registry's entries at a revision.
#[derive(Clone, Debug, Default)]
pub struct RegistryState {
    /// Revision of the registry; the initial one before the first sync.
    pub revision: Revision,
    /// All entries that entry hosts use.
    pub entries: Arc<EncodedEntries>,
    /// Addresses of other entry hosts.
    pub peers: Vec<SocketAddr>,
    /// Sync status at the time of sending.
    pub sync_status: SyncStatus,
}

/// Entries that changed between two revisions.
#[derive(Clone, Debug)]
pub struct ChangeBatch {
    /// Revision before the changes.
    pub before: Revision,
    /// Revision after the changes.
    pub revision: Revision,
    /// The changed entries, in the order of their changes.
    pub entries: Arc<EncodedEntries>,
}

/// What a follower lacks.
#[derive(Clone, Debug)]
pub enum MissingChanges {
    /// Nothing.
    Nothing,
    /// Changed entries; the follower may have some of the first batch already.
    Changes(Vec<ChangeBatch>),
    /// A full copy, since the changes are no longer kept.
    All(Arc<RegistryState>),
}

/// How current a host's copy of the registry is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SyncStatus {
    /// Time since the registry last answered this host or its source.
    pub age: Duration,
    /// What is left of the suspect period, in which removals may come from the registry
    /// having been unavailable.
    pub suspect_left: Duration,
}

/// This host's copy of the registry, shared by its users.
#[derive(Clone, Debug, Default)]
pub struct RegistryCopy {
    inner: Arc<Mutex<Inner>>,
    /// Notified when the revision changes and when this host begins to stop.
    changed: watch::Sender<()>,
    followers: Arc<AtomicUsize>,
    /// Notified when the number of followers rises from zero.
    first_follower: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Inner {
    state: Arc<RegistryState>,
    /// Latest changes, without a gap between revisions.
    recent_batches: VecDeque<ChangeBatch>,
    /// Number of entries in `recent_batches`.
    recent_entries: usize,
    /// Last time when the registry answered this host or its source.
    last_contact: Millis,
    suspect_until: Millis,
    is_stopping: bool,
    /// Full copies of the last [`FULL_SYNC_TIME`]: when each was sent, and the recipient's
    /// address.
    full_syncs: VecDeque<(Millis, Option<SocketAddr>)>,
}

impl RegistryCopy {
    /// Replaces the state. `batch` holds the changes since the one before; `None` when the
    /// state was read as a whole.
    pub fn replace(&self, state: RegistryState, batch: Option<ChangeBatch>) {
        let mut inner = self.lock();
        match batch {
            Some(batch) if batch.revision > batch.before => inner.push_recent(batch),
            Some(_) => {}
            None => {
                inner.recent_batches.clear();
                inner.recent_entries = 0;
            }
        }
        inner.state = Arc::new(state);
        drop(inner);
        self.changed.send_replace(());
    }

    /// Returns the current state.
    #[must_use]
    pub fn get(&self) -> Arc<RegistryState> {
        Arc::clone(&self.lock().state)
    }

    /// Admits a full copy to the host at `address`, unless `MAX_FULL_SYNCS` were sent within
    /// `FULL_SYNC_TIME`.
    ///
    /// # Errors
    ///
    /// Returns the recipients of these copies, of which the host can ask one instead.
    pub fn admit_full_sync(
        &self,
        address: Option<SocketAddr>,
        now: Millis,
    ) -> Result<(), Vec<SocketAddr>> {
        let mut inner = self.lock();
        inner
            .full_syncs
            .retain(|(sent_at, _)| now.since(*sent_at) < FULL_SYNC_TIME);
        if inner.full_syncs.len() >= MAX_FULL_SYNCS {
            let recipients = inner.full_syncs.iter();
            return Err(recipients.filter_map(|(_, recipient)| *recipient).collect());
        }
        inner.full_syncs.push_back((now, address));
        Ok(())
    }

    /// Records that the registry answered this host or its source at `at`.
    pub fn record_contact(&self, at: Millis) {
        let mut inner = self.lock();
        inner.last_contact = inner.last_contact.max(at);
    }

    /// Records the end of the suspect period, in which removals may come from the registry
    /// having been unavailable.
    pub fn record_suspect_period(&self, until: Millis) {
        self.lock().suspect_until = until;
    }

    /// Ends the update streams, so that followers choose another source.
    pub fn stop(&self) {
        self.lock().is_stopping = true;
        self.changed.send_replace(());
    }

    /// Returns whether this host is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.lock().is_stopping
    }

    /// Returns the sync status of this copy.
    #[must_use]
    pub fn sync_status(&self, now: Millis) -> SyncStatus {
        let inner = self.lock();
        SyncStatus {
            age: now.since(inner.last_contact),
            suspect_left: inner.suspect_until.since(now),
        }
    }

    /// Waits up to `wait` for a state newer than `revision`; returns the current state then.
    pub async fn wait_newer_than(&self, revision: Revision, wait: Duration) -> Arc<RegistryState> {
        let mut changes = self.subscribe();
        let newer = async {
            while self.get().revision <= revision {
                if changes.changed().await.is_err() {
                    break;
                }
            }
        };
        // After the timeout the current state is returned, also when it is not newer.
        let _ = timeout(wait, newer).await;
        self.get()
    }

    /// Returns what a follower at `revision` lacks.
    #[must_use]
    pub fn changes_since(&self, revision: Revision) -> MissingChanges {
        let inner = self.lock();
        if inner.state.revision <= revision {
            return MissingChanges::Nothing;
        }
        let is_covered = inner
            .recent_batches
            .front()
            .is_some_and(|first| revision.continues(first.before) && first.before <= revision);
        if !is_covered {
            return MissingChanges::All(Arc::clone(&inner.state));
        }
        let newer = inner
            .recent_batches
            .iter()
            .filter(|batch| batch.revision > revision);
        MissingChanges::Changes(newer.cloned().collect())
    }

    /// Returns a receiver that is notified when the revision changes and when this host
    /// begins to stop.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Returns whether this host has followers.
    #[must_use]
    pub fn has_followers(&self) -> bool {
        self.followers.load(Ordering::Relaxed) > 0
    }

    /// Waits until the number of followers rises from zero.
    pub async fn wait_for_follower(&self) {
        self.first_follower.notified().await;
    }

    /// Counts one more follower until the guard is dropped.
    #[must_use]
    pub fn count_follower(&self) -> FollowerGuard {
        if self.followers.fetch_add(1, Ordering::Relaxed) == 0 {
            self.first_follower.notify_one();
        }
        FollowerGuard(Arc::clone(&self.followers))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn push_recent(&mut self, batch: ChangeBatch) {
        // Followers would never get the changes of a gap between two batches.
        if self
            .recent_batches
            .back()
            .is_some_and(|last| last.revision != batch.before)
        {
            self.recent_batches.clear();
            self.recent_entries = 0;
        }
        self.recent_entries += batch.entries.get().len();
        self.recent_batches.push_back(batch);
        while self.recent_entries > MAX_RECENT_ENTRIES
            && let Some(oldest) = self.recent_batches.pop_front()
        {
            self.recent_entries -= oldest.entries.get().len();
        }
    }
}

/// Counts one follower until it is dropped.
#[derive(Debug)]
pub struct FollowerGuard(Arc<AtomicUsize>);

impl Drop for FollowerGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
