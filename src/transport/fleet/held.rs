//! What a host has of the registry's word, for hosts that learn from it.

use {
    super::told::Told,
    crate::clock::Millis,
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

/// Changed entries that are kept for hosts that follow: what a reshard of some hundred
/// shards makes in the seconds between two updates. Who is further behind gets everything.
const RECENT_ENTRIES: usize = 4_096;

/// Hosts that are told everything within [`TELLING_TIME`]: a thousand leaves pack into some
/// 30 KB, and the slowest links carry 5 MB a second.
const TOLD_AT_ONCE: usize = 32;

/// Time in which a host that was told everything counts as being told.
const TELLING_TIME: Duration = Duration::from_secs(1);

/// What the registry told, up to a revision.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Revision up to which it goes; 0 before anything was heard.
    pub revision: u64,
    /// All entries that matter.
    pub entries: Arc<Told>,
    /// Other entry hosts.
    pub peers: Vec<SocketAddr>,
    /// How far it can be believed, as of when it was told.
    pub standing: Standing,
}

/// Entries that changed between two revisions.
#[derive(Clone, Debug)]
pub struct Batch {
    /// Revision before the first of them.
    pub before: u64,
    /// Revision up to which they go.
    pub revision: u64,
    /// The entries, in the order of their changes.
    pub entries: Arc<Told>,
}

/// What a host that follows needs next.
#[derive(Clone, Debug)]
pub enum Missing {
    /// Nothing.
    Nothing,
    /// Entries that changed; the first may be known already.
    Changes(Vec<Batch>),
    /// Everything: the changes are no longer at hand.
    All(Arc<Snapshot>),
}

/// How far what is held can be believed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Time since the registry last answered, here or at the source.
    pub age: Duration,
    /// How much longer removals may come from the registry's own absence.
    pub doubt: Duration,
}

/// What this host holds.
#[derive(Clone, Debug, Default)]
pub struct Held {
    inner: Arc<Mutex<Inner>>,
    /// Told when the revision, or whether this host is stopping, changes.
    changed: watch::Sender<()>,
    followers: Arc<AtomicUsize>,
    /// Told when the first host follows this one.
    followed: Arc<Notify>,
}

#[derive(Debug, Default)]
struct Inner {
    snapshot: Arc<Snapshot>,
    recent: VecDeque<Batch>,
    /// Entries in `recent`.
    kept: usize,
    contact: Millis,
    doubt_until: Millis,
    is_stopping: bool,
    /// Hosts that were told everything lately.
    told: VecDeque<(Millis, Option<SocketAddr>)>,
}

impl Held {
    /// Replaces the snapshot. `batch` tells the changes that made it of the one before;
    /// `None` when it was read as a whole.
    pub fn set(&self, snapshot: Snapshot, batch: Option<Batch>) {
        let mut inner = self.lock();
        match batch {
            Some(batch) if batch.revision > batch.before => inner.keep(batch),
            Some(_) => {}
            None => {
                inner.recent.clear();
                inner.kept = 0;
            }
        }
        inner.snapshot = Arc::new(snapshot);
        drop(inner);
        self.changed.send_replace(());
    }

    /// Returns the snapshot.
    #[must_use]
    pub fn get(&self) -> Arc<Snapshot> {
        Arc::clone(&self.lock().snapshot)
    }

    /// Returns whether a host that answers at `address` may be told everything now; the hosts
    /// that were told lately when it is to ask one of these.
    ///
    /// # Errors
    ///
    /// Returns these hosts.
    pub fn admit(&self, address: Option<SocketAddr>, now: Millis) -> Result<(), Vec<SocketAddr>> {
        let mut inner = self.lock();
        inner.told.retain(|(at, _)| now.since(*at) < TELLING_TIME);
        if inner.told.len() >= TOLD_AT_ONCE {
            return Err(inner.told.iter().filter_map(|(_, told)| *told).collect());
        }
        inner.told.push_back((now, address));
        Ok(())
    }

    /// Notes that the registry answered at `at`, here or at the source.
    pub fn note_contact(&self, at: Millis) {
        let mut inner = self.lock();
        inner.contact = inner.contact.max(at);
    }

    /// Notes until when removals may come from the registry's own absence.
    pub fn note_doubt(&self, until: Millis) {
        self.lock().doubt_until = until;
    }

    /// Lets those that follow this host look for another source.
    pub fn stop(&self) {
        self.lock().is_stopping = true;
        self.changed.send_replace(());
    }

    /// Returns whether this host is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.lock().is_stopping
    }

    /// Returns how far what is held can be believed.
    #[must_use]
    pub fn standing(&self, now: Millis) -> Standing {
        let inner = self.lock();
        Standing {
            age: now.since(inner.contact),
            doubt: inner.doubt_until.since(now),
        }
    }

    /// Returns the snapshot once it goes beyond `revision`, at the latest after `wait`.
    pub async fn when_newer(&self, revision: u64, wait: Duration) -> Arc<Snapshot> {
        let mut changes = self.changes();
        let newer = async {
            while self.get().revision <= revision {
                if changes.changed().await.is_err() {
                    break;
                }
            }
        };
        // What there is after the wait is told.
        let _ = timeout(wait, newer).await;
        self.get()
    }

    /// Returns what a host that has everything up to `revision` misses.
    #[must_use]
    pub fn since(&self, revision: u64) -> Missing {
        let inner = self.lock();
        if inner.snapshot.revision <= revision {
            return Missing::Nothing;
        }
        let is_covered = inner
            .recent
            .front()
            .is_some_and(|first| first.before <= revision);
        if !is_covered {
            return Missing::All(Arc::clone(&inner.snapshot));
        }
        let newer = inner
            .recent
            .iter()
            .filter(|batch| batch.revision > revision);
        Missing::Changes(newer.cloned().collect())
    }

    /// Returns what tells of changes.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Returns whether any host follows this one.
    #[must_use]
    pub fn is_followed(&self) -> bool {
        self.followers.load(Ordering::Relaxed) > 0
    }

    /// Waits until the first host follows this one.
    pub async fn when_followed(&self) {
        self.followed.notified().await;
    }

    /// Counts a host that follows this one until the guard is dropped.
    #[must_use]
    pub fn count_follower(&self) -> FollowerGuard {
        if self.followers.fetch_add(1, Ordering::Relaxed) == 0 {
            self.followed.notify_one();
        }
        FollowerGuard(Arc::clone(&self.followers))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn keep(&mut self, batch: Batch) {
        // A gap in the changes would hide what happened in it.
        if self
            .recent
            .back()
            .is_some_and(|last| last.revision != batch.before)
        {
            self.recent.clear();
            self.kept = 0;
        }
        self.kept += batch.entries.get().len();
        self.recent.push_back(batch);
        while self.kept > RECENT_ENTRIES
            && let Some(oldest) = self.recent.pop_front()
        {
            self.kept -= oldest.entries.get().len();
        }
    }
}

/// Counts one host that follows this one until it is dropped.
#[derive(Debug)]
pub struct FollowerGuard(Arc<AtomicUsize>);

impl Drop for FollowerGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
