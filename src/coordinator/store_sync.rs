//! Proposals to the platform's store, and watches of it.

use {
    super::Coordinator,
    crate::{
        clock::Millis,
        collections::Name,
        coordination::{
            members::{Change, MemberList},
            placement::hash_weight,
        },
        protocol::message::{Message, Pull},
        transport::store::{Store, StoreError, Versioned},
    },
    bytes::Bytes,
    slog::{info, warn},
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::sleep},
};

/// Daemons that watch the store and pass changes on to the others.
const WATCHERS: usize = 2;

/// Longest time that one watch waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay before a failed call is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval at which a daemon that is no watcher polls the store, in case all watchers
/// fail, in a fleet of up to [`POLLERS_PER_INTERVAL`].
const POLL_INTERVAL: Duration = Duration::from_secs(30);

/// Daemons that share one [`POLL_INTERVAL`]. Those of a larger fleet poll less often, so
/// that the store's load stays the same.
const POLLERS_PER_INTERVAL: u32 = 30;

/// Attempts at one proposal when other daemons write in between.
const MAX_ATTEMPTS: usize = 40;

/// Interval of calls to the seeds until this daemon has a configuration and is a member.
const SEED_INTERVAL: Duration = Duration::from_millis(300);

/// A value in the store that every daemon keeps a copy of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Watched {
    /// The member list.
    Members,
    /// The configuration record.
    Declaration,
}

impl Watched {
    /// Returns the store's key for the value.
    #[must_use]
    pub fn store_key(self, cluster: &str) -> String {
        match self {
            Self::Members => format!("{cluster}.members"),
            Self::Declaration => format!("{cluster}.declaration"),
        }
    }
}

/// Whether a proposal is done.
enum Outcome {
    Done,
    Retry,
}

impl<S: Store> Coordinator<S> {
    fn members_key(&self) -> String {
        Watched::Members.store_key(&self.shared.settings.cluster)
    }

    pub(super) fn declaration_key(&self) -> String {
        Watched::Declaration.store_key(&self.shared.settings.cluster)
    }

    /// Carries out proposals for the member list, one after the other.
    pub async fn run_proposals(self: Arc<Self>, mut proposals: mpsc::UnboundedReceiver<Change>) {
        while let Some(change) = proposals.recv().await {
            if let Err(error) = self.propose(&change).await {
                warn!(self.shared.log, "members: change failed"; "error" => %error,
                    "change" => ?change);
            }
            self.lock().proposal_done(Millis::now());
        }
    }

    /// Makes one change to the member list.
    ///
    /// # Errors
    ///
    /// Fails if the store does, or if other daemons write in between too often.
    pub async fn propose(&self, change: &Change) -> Result<(), StoreError> {
        for _ in 0..MAX_ATTEMPTS {
            let entry = self.store.read(&self.members_key()).await?;
            let list = read_list(entry.as_ref())?;
            self.apply_list(list.clone());
            if !self.lock().may_propose(change, Millis::now()) {
                return Ok(());
            }
            let version = entry.map_or(0, |entry| entry.version);
            if let Outcome::Done = self.write_list(&list, version, change).await? {
                return Ok(());
            }
        }
        Err(StoreError::Conflict)
    }

    async fn write_list(
        &self,
        list: &MemberList,
        version: u64,
        change: &Change,
    ) -> Result<Outcome, StoreError> {
        let Some(next) = list.after(change) else {
            return Ok(Outcome::Done);
        };
        self.lock().before_proposal(list, change, Millis::now());
        let key = self.members_key();
        match self.store.write(&key, version, next.to_value()).await {
            Ok(_) => {
                self.apply_list(next);
                Ok(Outcome::Done)
            }
            Err(StoreError::Conflict) => {
                self.lock().proposal_failed(list);
                Ok(Outcome::Retry)
            }
            // The next read of the list shows whether the write took effect.
            Err(StoreError::Unknown) => Ok(Outcome::Retry),
            Err(error) => {
                self.lock().proposal_failed(list);
                Err(error)
            }
        }
    }

    /// Applies each new version of one value of the store. A few daemons watch it; the
    /// others poll it.
    pub async fn run_watch(self: Arc<Self>, watched: Watched) {
        let key = watched.store_key(&self.shared.settings.cluster);
        let mut version = 0;
        loop {
            let timeout = if version > 0 && self.is_watcher(&key) {
                WATCH_TIMEOUT
            } else {
                Duration::ZERO
            };
            match self.store.watch(&key, version, timeout).await {
                Ok(Some(entry)) => {
                    version = entry.version;
                    self.apply_watched(watched, &entry).await;
                }
                Ok(None) => {
                    version = version.max(1);
                    if !timeout.is_zero() {
                        version = self.check_version(watched, version).await;
                    }
                }
                Err(_) => sleep(RETRY_DELAY).await,
            }
            if !self.is_watcher(&key) {
                self.wait_for_poll(&key).await;
            }
        }
    }

    /// Reads a value whose watch from `version` showed no change, and returns its version: a
    /// store that was restored from an older copy has an earlier one, which no watch returns.
    async fn check_version(&self, watched: Watched, version: u64) -> u64 {
        let key = watched.store_key(&self.shared.settings.cluster);
        match self.store.read(&key).await {
            Ok(Some(entry)) if entry.version < version => {
                self.apply_watched(watched, &entry).await;
                entry.version
            }
            _ => version,
        }
    }

    async fn apply_watched(&self, watched: Watched, entry: &Versioned) {
        match watched {
            Watched::Members => match read_list(Some(entry)) {
                Ok(list) => self.apply_list(list),
                Err(_) => warn!(self.shared.log, "members: list in the store is unreadable"),
            },
            Watched::Declaration => {
                self.apply_record(&Bytes::from(entry.value.clone()));
                self.restore_record(entry).await;
            }
        }
    }

    /// Waits until the next poll, or until this daemon becomes a watcher.
    async fn wait_for_poll(&self, key: &str) {
        let mut waited = Duration::ZERO;
        while waited < poll_interval(self.active_ids().len()) && !self.is_watcher(key) {
            sleep(RETRY_DELAY).await;
            waited += RETRY_DELAY;
        }
    }

    /// Returns whether this daemon is one of the few that watch `key`. A daemon that is no
    /// active member, as while it knows of no members, watches it itself.
    pub(super) fn is_watcher(&self, key: &str) -> bool {
        let mut ids = self.active_ids();
        let own = &self.shared.settings.id;
        if !ids.contains(own) {
            return true;
        }
        ids.sort_by_cached_key(|id: &Name| std::cmp::Reverse(hash_weight(key, id)));
        ids.iter().take(WATCHERS).any(|id| id == own)
    }

    /// Pulls the member list and the configuration from the seeds while this daemon has no
    /// configuration or is no member.
    pub async fn run_seeds(self: Arc<Self>) {
        let seeds = self.shared.settings.seeds.clone();
        loop {
            let view = self.shared.view();
            if view.catalog.revision > 0 && view.key.is_some() {
                sleep(RETRY_DELAY).await;
                continue;
            }
            let pull = Message::Pull(Pull {
                epoch: view.list.epoch,
                revision: view.catalog.revision,
            });
            let digest = Message::Digest(crate::protocol::message::Digest {
                epoch: view.list.epoch,
                revision: view.catalog.revision,
                ..Default::default()
            });
            for seed in &seeds {
                if *seed != self.shared.settings.reachable_address() {
                    let messages = vec![digest.clone(), pull.clone()];
                    self.peers.exchange(*seed, messages).await;
                }
            }
            sleep(SEED_INTERVAL).await;
        }
    }

    /// Removes a member whose host is off, as an operator has confirmed.
    ///
    /// # Errors
    ///
    /// Fails if the store does.
    pub async fn evict(&self, id: &str) -> Result<bool, StoreError> {
        let key = self
            .lock()
            .list()
            .by_id(id)
            .map(|member| member.key.clone());
        let Some(key) = key else { return Ok(false) };
        info!(self.shared.log, "members: evicted by an operator"; "member" => %key);
        self.propose(&Change::Remove(vec![key])).await?;
        Ok(true)
    }
}

/// Returns the time between polls of one daemon among `members`.
#[must_use]
pub fn poll_interval(members: usize) -> Duration {
    let members = u32::try_from(members).unwrap_or(u32::MAX);
    POLL_INTERVAL * members.div_ceil(POLLERS_PER_INTERVAL).max(1)
}

fn read_list(entry: Option<&Versioned>) -> Result<MemberList, StoreError> {
    entry.map_or_else(
        || Ok(MemberList::default()),
        |entry| MemberList::parse(entry.value.as_bytes()).map_err(|_| StoreError::Unavailable),
    )
}
