//! Stand-in for the platform's key-value store and its host list.
//!
//! - `GET /v1/kv/KEY` returns `{version, value}` or 404.
//! - `PUT /v1/kv/KEY?version=N` writes when the key's version is `N` (0 for a
//!   key that does not exist) and returns `{version}`, or 409 with the current version.
//!   `ttl_ms=T` puts the key under a lease that expires after `T` milliseconds.
//! - `GET /v1/watch/KEY?after=N&wait_ms=W` waits until the version exceeds `N`, for at
//!   most `W` milliseconds, and returns `{version, value}` or 204.
//! - `GET /v1/hosts` lists `{host, state}`; `POST /v1/hosts` sets the list, which may
//!   lag behind the targets.
//! - `GET /v1/calls` returns the counts of calls; `POST /v1/fault` sets a [`Fault`].

use {
    crate::{
        history::{Event, History},
        http::{self, Reply},
    },
    bytes::Bytes,
    hyper::{Method, Request, StatusCode, body::Incoming},
    rustc_hash::{FxHashMap, FxHasher},
    serde::{Deserialize, Serialize},
    std::{
        hash::{Hash, Hasher},
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpListener, sync::Notify, task::JoinHandle},
};

/// Maximum size of a value, in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;

/// Faults of the store.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// True when calls fail with status 503, after `delay_ms`.
    pub down: bool,
    /// Additional time that each call takes, milliseconds.
    pub delay_ms: u64,
    /// Number of further accepted writes that take effect and then return status 504, as
    /// if their reply were lost.
    pub lose_answers: u64,
}

/// The value of a key, with its version.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Entry {
    /// Number of writes to this key.
    pub version: u64,
    /// Value of the last write.
    pub value: String,
    #[serde(skip)]
    lapses: Option<Instant>,
}

/// A host in the host list, which may lag behind the targets.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Host {
    /// Target name.
    pub host: String,
    /// `live` or `leaving`.
    pub state: String,
}

/// Counters of calls by kind.
#[derive(Debug, Default)]
pub struct Calls {
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
}

/// Number of calls by kind up to one moment.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct CallCount {
    /// Reads, including those of the host list.
    pub reads: u64,
    /// Writes, including rejected ones.
    pub writes: u64,
    /// Watches, each counted once regardless of how long it waits.
    pub watches: u64,
}

#[derive(Default)]
struct Shared {
    keys: Mutex<FxHashMap<String, Entry>>,
    hosts: Mutex<Vec<Host>>,
    fault: Mutex<Fault>,
    changed: Notify,
    calls: Calls,
    history: History,
}

/// A copy of all keys of a store.
pub struct StoreCopy(FxHashMap<String, Entry>);

/// A running stand-in of the store.
pub struct StoreStandin {
    /// Address that it listens on.
    pub address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Drop for StoreStandin {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl StoreStandin {
    /// Starts a store on `address`; with port 0 the kernel chooses the port.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub async fn start(address: SocketAddr, history: History) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            history,
            ..Shared::default()
        });
        let handler_shared = Arc::clone(&shared);
        let task = tokio::spawn(http::serve(listener, move |request| {
            handle_request(Arc::clone(&handler_shared), request)
        }));
        Ok(Self {
            address,
            shared,
            task,
        })
    }

    /// Sets the faults of the store from now on.
    pub fn set_fault(&self, fault: Fault) {
        *lock(&self.shared.fault) = fault;
    }

    /// Returns a copy of all keys.
    #[must_use]
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(lock(&self.shared.keys).clone())
    }

    /// Restores the store from an earlier copy: what was written since is gone, and versions
    /// are given out again.
    pub fn restore(&self, copy: StoreCopy) {
        *lock(&self.shared.keys) = copy.0;
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        *lock(&self.shared.hosts) = hosts;
    }

    /// Returns the number of calls so far.
    #[must_use]
    pub fn calls(&self) -> CallCount {
        self.shared.calls.count()
    }
}

impl Calls {
    fn count(&self) -> CallCount {
        CallCount {
            reads: self.reads.load(Ordering::Relaxed),
            writes: self.writes.load(Ordering::Relaxed),
            watches: self.watches.load(Ordering::Relaxed),
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle_request(shared: Arc<Shared>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    let query = Query::parse(request.uri().query().unwrap_or_default());
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/v1/calls") => return http::json(StatusCode::OK, &shared.calls.count()),
        (Method::POST, "/v1/fault") => return set_fault(&shared, request).await,
        (Method::POST, "/v1/hosts") => return set_hosts(&shared, request).await,
        _ => {}
    }
    count_call(&shared.calls, request.method(), &path);
    let fault = lock(&shared.fault).clone();
    tokio::time::sleep(Duration::from_millis(fault.delay_ms)).await;
    if fault.down {
        return http::empty(StatusCode::SERVICE_UNAVAILABLE);
    }
    if path == "/v1/hosts" {
        return http::json(StatusCode::OK, &*lock(&shared.hosts));
    }
    if let Some(key) = path.strip_prefix("/v1/watch/") {
        return watch_key(&shared, key, &query).await;
    }
    let Some(key) = path.strip_prefix("/v1/kv/") else {
        return http::empty(StatusCode::NOT_FOUND);
    };
    match *request.method() {
        Method::GET => read_key(&shared, key),
        Method::PUT => {
            let Ok(body) = http::read_body(request.into_body()).await else {
                return http::empty(StatusCode::BAD_REQUEST);
            };
            write_key(&shared, key, &query, &body)
        }
        _ => http::empty(StatusCode::METHOD_NOT_ALLOWED),
    }
}

fn count_call(calls: &Calls, method: &Method, path: &str) {
    let counter = if path.starts_with("/v1/watch/") {
        &calls.watches
    } else if *method == Method::PUT {
        &calls.writes
    } else {
        &calls.reads
    };
    counter.fetch_add(1, Ordering::Relaxed);
}

async fn set_fault(shared: &Shared, request: Request<Incoming>) -> Reply {
    let Ok(body) = http::read_body(request.into_body()).await else {
        return http::empty(StatusCode::BAD_REQUEST);
    };
    match serde_json::from_slice(&body) {
        Ok(fault) => {
            *lock(&shared.fault) = fault;
            http::empty(StatusCode::NO_CONTENT)
        }
        Err(_) => http::empty(StatusCode::BAD_REQUEST),
    }
}

async fn set_hosts(shared: &Shared, request: Request<Incoming>) -> Reply {
    let Ok(body) = http::read_body(request.into_body()).await else {
        return http::empty(StatusCode::BAD_REQUEST);
    };
    match serde_json::from_slice(&body) {
        Ok(hosts) => {
            *lock(&shared.hosts) = hosts;
            http::empty(StatusCode::NO_CONTENT)
        }
        Err(_) => http::empty(StatusCode::BAD_REQUEST),
    }
}

fn read_key(shared: &Shared, key: &str) -> Reply {
    match live_entry(&mut lock(&shared.keys), key) {
        Some(entry) => http::json(StatusCode::OK, &entry),
        None => http::empty(StatusCode::NOT_FOUND),
    }
}

fn live_entry(keys: &mut FxHashMap<String, Entry>, key: &str) -> Option<Entry> {
    let is_expired = keys
        .get(key)
        .and_then(|entry| entry.lapses)
        .is_some_and(|at| at <= Instant::now());
    if is_expired {
        keys.remove(key);
    }
    keys.get(key).cloned()
}

fn write_key(shared: &Shared, key: &str, query: &Query, body: &Bytes) -> Reply {
    let Ok(value) = String::from_utf8(body.to_vec()) else {
        return http::empty(StatusCode::BAD_REQUEST);
    };
    if value.len() > VALUE_LIMIT {
        return http::empty(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let mut hasher = FxHasher::default();
    value.hash(&mut hasher);
    let digest = hasher.finish();
    let version = {
        let mut keys = lock(&shared.keys);
        let current = live_entry(&mut keys, key).map_or(0, |entry| entry.version);
        if current != query.version {
            return http::json(
                StatusCode::CONFLICT,
                &serde_json::json!({ "version": current }),
            );
        }
        let lapses = query
            .ttl_ms
            .map(|ttl| Instant::now() + Duration::from_millis(ttl));
        let entry = Entry {
            version: current + 1,
            value,
            lapses,
        };
        keys.insert(key.to_owned(), entry);
        // Recorded while the lock is held, so that the history has the order of the writes.
        shared.history.add(Event::StoreAccepted {
            key: key.to_owned(),
            version: current + 1,
            digest,
        });
        current + 1
    };
    shared.changed.notify_waiters();
    let is_reply_lost = {
        let mut fault = lock(&shared.fault);
        let is_reply_lost = fault.lose_answers > 0;
        fault.lose_answers = fault.lose_answers.saturating_sub(1);
        is_reply_lost
    };
    if is_reply_lost {
        return http::empty(StatusCode::GATEWAY_TIMEOUT);
    }
    http::json(StatusCode::OK, &serde_json::json!({ "version": version }))
}

async fn watch_key(shared: &Shared, key: &str, query: &Query) -> Reply {
    let deadline = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        let mut changed = std::pin::pin!(shared.changed.notified());
        changed.as_mut().enable();
        let entry = live_entry(&mut lock(&shared.keys), key);
        if lock(&shared.fault).down {
            return http::empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        if let Some(entry) = entry.filter(|entry| entry.version > query.after) {
            return http::json(StatusCode::OK, &entry);
        }
        if tokio::time::timeout_at(deadline, changed).await.is_err() {
            return http::empty(StatusCode::NO_CONTENT);
        }
    }
}

#[derive(Default)]
struct Query {
    version: u64,
    after: u64,
    wait_ms: u64,
    ttl_ms: Option<u64>,
}

impl Query {
    fn parse(text: &str) -> Self {
        let mut query = Self::default();
        for (name, value) in text.split('&').filter_map(|pair| pair.split_once('=')) {
            let Ok(value) = value.parse() else { continue };
            match name {
                "version" => query.version = value,
                "after" => query.after = value,
                "wait_ms" => query.wait_ms = value,
                "ttl_ms" => query.ttl_ms = Some(value),
                _ => {}
            }
        }
        query
    }
}
