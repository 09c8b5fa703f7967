//! Claims of idempotency keys, written to the platform's store.

use {
    crate::{
        clock::unix_ms,
        collections::{Map, Name, Set},
        coordination::claims::{ClaimError, ClaimSet, KeyHash, store_key},
        protocol::verdict::{Cause, Failure, Verdict},
        state::catalog::LeafEntry,
        transport::store::{Store, StoreError},
    },
    std::{
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::{
        sync::{mpsc, oneshot},
        time::{Instant, sleep_until, timeout_at},
    },
};

/// Least time between two writes for one shard, which bounds the store's load at any rate
/// of requests.
const WRITE_INTERVAL: Duration = Duration::from_millis(50);

/// Attempts to write one group of claims when other daemons write in between.
const MAX_WRITE_ATTEMPTS: usize = 4;

/// Most claims queued for the writer of one shard.
const QUEUE_CAPACITY: usize = 4_096;

type Reply = oneshot::Sender<Result<(), Failure>>;

/// Keys that this daemon claimed without sending their request.
type Unsent = Arc<Mutex<Set<KeyHash>>>;

/// Claims keys before requests are sent.
pub struct Claims<S> {
    store: Arc<S>,
    cluster: Name,
    writers: Mutex<Map<String, mpsc::Sender<(KeyHash, Reply)>>>,
    unsent: Unsent,
}

impl<S: Store> Claims<S> {
    /// Returns the claims of a cluster.
    #[must_use]
    pub fn new(store: Arc<S>, cluster: Name) -> Self {
        Self {
            store,
            cluster,
            writers: Mutex::default(),
            unsent: Unsent::default(),
        }
    }

    /// Claims a key for the shard of `leaf`. After success the request may be sent once.
    ///
    /// # Errors
    ///
    /// `MayHaveRun` if the key was claimed before; `NotRun` if the store can't be reached,
    /// has no room, or does not reply before `deadline`.
    pub async fn claim(
        &self,
        leaf: &LeafEntry,
        key: &str,
        deadline: Instant,
    ) -> Result<(), Failure> {
        let hash = KeyHash::of(&leaf.service.name, key);
        if lock(&self.unsent).remove(&hash) {
            return Ok(());
        }
        let (reply, replied) = oneshot::channel();
        let writer = self.writer(leaf);
        let result = async {
            writer.send((hash, reply)).await.ok()?;
            replied.await.ok()
        };
        let result = timeout_at(deadline, result).await.ok().flatten();
        result.unwrap_or(Err(Failure::not_run(Cause::Store)))
    }

    /// Records that the request of a claimed key was not sent. This daemon, and no other,
    /// may send it when its caller retries.
    pub fn record_unsent(&self, leaf: &LeafEntry, key: &str) {
        lock(&self.unsent).insert(KeyHash::of(&leaf.service.name, key));
    }

    fn writer(&self, leaf: &LeafEntry) -> mpsc::Sender<(KeyHash, Reply)> {
        let key = store_key(&self.cluster, &leaf.service.name, leaf.shard);
        let mut writers = lock(&self.writers);
        if let Some(writer) = writers.get(&key) {
            return writer.clone();
        }
        let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let writer = Writer {
            store: Arc::clone(&self.store),
            unsent: Arc::clone(&self.unsent),
            key: key.clone(),
            version: 0,
            claims: ClaimSet::default(),
        };
        tokio::spawn(writer.run(receiver));
        writers.insert(key, sender.clone());
        sender
    }
}

/// Writes the claims of one shard in groups.
struct Writer<S> {
    store: Arc<S>,
    unsent: Unsent,
    key: String,
    version: u64,
    claims: ClaimSet,
}

impl<S: Store> Writer<S> {
    async fn run(mut self, mut queue: mpsc::Receiver<(KeyHash, Reply)>) {
        let mut group = Vec::new();
        let mut next = Instant::now();
        while queue.recv_many(&mut group, QUEUE_CAPACITY).await > 0 {
            sleep_until(next).await;
            // Claims that arrived during the interval are written with the group.
            while let Ok(more) = queue.try_recv() {
                group.push(more);
            }
            next = Instant::now() + WRITE_INTERVAL;
            self.claim_group(std::mem::take(&mut group)).await;
        }
    }

    async fn claim_group(&mut self, group: Vec<(KeyHash, Reply)>) {
        let mut keys: Vec<KeyHash> = Vec::new();
        let mut replies: Vec<(KeyHash, Reply)> = Vec::new();
        // Claims whose callers no longer wait are dropped.
        let wanted = group.into_iter().filter(|(_, reply)| !reply.is_closed());
        for (key, reply) in wanted {
            // Of several requests with the same key in a group, only the first may be sent.
            if keys.contains(&key) {
                let _ = reply.send(Err(repeated_key()));
            } else {
                keys.push(key);
                replies.push((key, reply));
            }
        }
        if keys.is_empty() {
            return;
        }
        let outcome = self.write_claims(&keys).await;
        for (key, reply) in replies {
            let result = match &outcome {
                Ok(denied) => match denied.get(&key) {
                    None => Ok(()),
                    Some(ClaimError::Used) => Err(repeated_key()),
                    Some(ClaimError::Full) => Err(Failure::not_run(Cause::Store)),
                },
                Err(_) => Err(Failure::not_run(Cause::Store)),
            };
            // The caller no longer waits: the key is claimed, and its next request may be
            // sent.
            if let Err(Ok(())) = reply.send(result) {
                lock(&self.unsent).insert(key);
            }
        }
    }

    /// Claims `keys`; returns those that were denied.
    async fn write_claims(
        &mut self,
        keys: &[KeyHash],
    ) -> Result<Map<KeyHash, ClaimError>, StoreError> {
        for _ in 0..MAX_WRITE_ATTEMPTS {
            if self.version == 0 {
                self.load_claims().await?;
            }
            let mut set = self.claims.clone();
            set.tag = rand::random();
            let denied = set.claim(keys, unix_ms() / 1_000);
            if denied.len() == keys.len() {
                return Ok(denied);
            }
            let written = self
                .store
                .write(&self.key, self.version, set.to_value())
                .await;
            match written {
                Ok(version) => {
                    self.version = version;
                    self.claims = set;
                    return Ok(denied);
                }
                Err(StoreError::Conflict) => self.load_claims().await?,
                Err(StoreError::Unknown) => {
                    // If the write took effect, the store has this set, with its tag, at
                    // the next version.
                    let before = self.version;
                    self.load_claims().await?;
                    if self.version == before + 1 && self.claims == set {
                        return Ok(denied);
                    }
                }
                Err(error) => return Err(error),
            }
        }
        Err(StoreError::Conflict)
    }

    async fn load_claims(&mut self) -> Result<(), StoreError> {
        // Reset first, so that a failed read leaves no outdated set in use.
        self.version = 0;
        self.claims = ClaimSet::default();
        if let Some(entry) = self.store.read(&self.key).await? {
            self.claims =
                ClaimSet::parse(entry.value.as_bytes()).map_err(|_| StoreError::Unavailable)?;
            self.version = entry.version;
        }
        Ok(())
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn repeated_key() -> Failure {
    Failure {
        verdict: Verdict::MayHaveRun,
        cause: Cause::Repeated,
    }
}
