//! Stand-in for a target: one instance with several leaves, each at its own address.
//!
//! A leaf replies to `POST /leaf` with the request headers `x-snapshot` (0 selects the
//! newest), `x-layout`, `x-deadline-unix-ms` and, for requests that are not idempotent,
//! `idempotency-key`. A reply has the headers `x-snapshot`, `x-incarnation`, `x-oldest`,
//! `x-newest` and `x-state`; a rejection has `x-run: not_run` and `x-cause`.
//! `GET /status` returns the same state headers, which may be false; see
//! [`Behaviour::lies`].

use {
    crate::history::{Event, History, now_us},
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU32, Ordering},
        },
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, watch},
        task::JoinHandle,
    },
};

mod reply;

/// Properties of a target that never change.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Target name.
    pub name: String,
    /// Service name.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// Shard and address of each leaf.
    pub leaves: Vec<(u32, SocketAddr)>,
    /// Number of requests that a leaf works on concurrently.
    pub slots: u32,
    /// Maximum number of open connections of a leaf.
    pub connections: u32,
    /// Time that a new connection waits before its first request is read.
    pub connect_cost: Duration,
    /// Seed of the work times.
    pub seed: u64,
}

/// Behaviour of a target, which may change at any time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent faults, each on or off"
)]
pub struct Behaviour {
    /// Mean time of work on one request, microseconds.
    pub work_us: u64,
    /// Factor on the time of work, above 1 for a straggler.
    pub slow_factor: u32,
    /// Concurrent requests that a cold leaf can take; one more crashes the target.
    pub cold_bears: u32,
    /// Factor on the time of work while the leaf is cold.
    pub cold_factor: u32,
    /// Number of requests that a leaf completes before it is warm.
    pub warm_after: u32,
    /// Time from a crash to the restart, milliseconds.
    pub restart_ms: u64,
    /// True when the target rejects requests with status 503.
    pub sheds: bool,
    /// True when requests are accepted and never get a reply.
    pub stalls: bool,
    /// Time by which the target continues work past a request's deadline, milliseconds.
    /// Above 0 it does not detect that a request is cancelled either.
    pub late_ms: u64,
    /// True when the target is leaving.
    pub leaving: bool,
    /// True when replies and status report a leaving target as serving.
    pub lies: bool,
    /// True when the target serves its newest version regardless of the one requested.
    pub ignores_pin: bool,
    /// Oldest index version that the target can serve.
    pub oldest: u64,
    /// Newest index version that the target can serve.
    pub newest: u64,
    /// Layout number of the data; requests with another are rejected.
    pub layout: u32,
    /// Point at which the target closes connections, if it does.
    pub cut: Option<Cut>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            work_us: 1_000,
            slow_factor: 1,
            cold_bears: 1,
            cold_factor: 4,
            warm_after: 8,
            restart_ms: 300,
            sheds: false,
            stalls: false,
            late_ms: 0,
            leaving: false,
            lies: false,
            ignores_pin: false,
            oldest: 1,
            newest: 1,
            layout: 1,
            cut: None,
        }
    }
}

/// Point at which a target closes a connection.
#[derive(Clone, Copy, Debug, Serialize, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "snake_case")]
pub enum Cut {
    /// New connections are closed before anything is read.
    Connect,
    /// After the request is read and run, before the reply.
    BeforeReply,
    /// After the head and half of the body of the reply.
    MidBody,
}

/// Body of a caller's request, as the stand-in targets read it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Work {
    /// Caller's own request id.
    pub request: String,
    /// Rows that each shard returns.
    #[serde(default = "one_row")]
    pub rows: u32,
    /// True when the request crashes each target that runs it.
    #[serde(default)]
    pub crash: bool,
}

fn one_row() -> u32 {
    1
}

struct Leaf {
    shard: u32,
    slots: Semaphore,
    in_flight: AtomicU32,
    connections: AtomicU32,
    served: AtomicU32,
}

struct Shared {
    spec: Spec,
    behaviour: Mutex<Behaviour>,
    incarnation: watch::Sender<u64>,
    random: Mutex<Pcg64Mcg>,
    leaves: Vec<Arc<Leaf>>,
    history: History,
}

/// A running target.
pub struct TargetStandin {
    shared: Arc<Shared>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for TargetStandin {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
        // Connections watch the incarnation and close when it changes.
        self.shared.incarnation.send_modify(|number| *number += 1);
    }
}

impl TargetStandin {
    /// Starts a target; for addresses with port 0 the kernel chooses the port.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound.
    pub async fn start(
        mut spec: Spec,
        behaviour: Behaviour,
        history: History,
    ) -> std::io::Result<Self> {
        let mut listeners = Vec::new();
        for (_, address) in &mut spec.leaves {
            let listener = TcpListener::bind(*address).await?;
            *address = listener.local_addr()?;
            listeners.push(listener);
        }
        let leaves = spec
            .leaves
            .iter()
            .map(|(shard, _)| {
                Arc::new(Leaf {
                    shard: *shard,
                    slots: Semaphore::new(spec.slots as usize),
                    in_flight: AtomicU32::new(0),
                    connections: AtomicU32::new(0),
                    served: AtomicU32::new(0),
                })
            })
            .collect();
        let shared = Arc::new(Shared {
            random: Mutex::new(Pcg64Mcg::seed_from_u64(spec.seed)),
            spec,
            behaviour: Mutex::new(behaviour),
            incarnation: watch::Sender::new(now_us()),
            leaves,
            history,
        });
        shared.record_cold();
        let tasks = listeners
            .into_iter()
            .enumerate()
            .map(|(position, listener)| {
                let leaf = Arc::clone(&shared.leaves[position]);
                tokio::spawn(accept_connections(Arc::clone(&shared), leaf, listener))
            })
            .collect();
        Ok(Self { shared, tasks })
    }

    /// Returns the properties of the target, with the addresses that it listens on.
    #[must_use]
    pub fn spec(&self) -> &Spec {
        &self.shared.spec
    }

    /// Changes the behaviour and records when the target starts to leave.
    pub fn change(&self, change: impl FnOnce(&mut Behaviour)) {
        let mut behaviour = lock(&self.shared.behaviour);
        let was_leaving = behaviour.leaving;
        change(&mut behaviour);
        if behaviour.leaving && !was_leaving {
            self.shared.history.add(Event::Leaving {
                target: self.shared.spec.name.clone(),
            });
        }
    }

    /// Crashes the target, which restarts cold after [`Behaviour::restart_ms`].
    pub fn crash(&self) {
        self.shared.crash("");
    }

    /// Makes the target cold without a restart and without a change in what it reports.
    pub fn turn_cold(&self) {
        for leaf in &self.shared.leaves {
            leaf.served.store(0, Ordering::Relaxed);
        }
        self.shared.record_cold();
    }

    /// Makes the target warm at once, so that a run can start with a warm fleet.
    pub fn warm_up(&self) {
        for leaf in &self.shared.leaves {
            leaf.served.store(u32::MAX / 2, Ordering::Relaxed);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn behaviour(&self) -> Behaviour {
        lock(&self.behaviour).clone()
    }

    fn record_cold(&self) {
        self.history.add(Event::Cold {
            target: self.spec.name.clone(),
        });
    }

    fn crash(&self, request: &str) {
        self.history.add(Event::Crashed {
            target: self.spec.name.clone(),
            request: request.to_owned(),
        });
        for leaf in &self.leaves {
            leaf.served.store(0, Ordering::Relaxed);
        }
        self.incarnation.send_modify(|number| *number = now_us());
    }

    fn work_time(&self, behaviour: &Behaviour, is_cold: bool) -> Duration {
        let jitter = lock(&self.random).random_range(0.5..1.5);
        let factor = if is_cold { behaviour.cold_factor } else { 1 } * behaviour.slow_factor;
        Duration::from_micros(behaviour.work_us)
            .mul_f64(jitter)
            .saturating_mul(factor)
    }
}

async fn accept_connections(shared: Arc<Shared>, leaf: Arc<Leaf>, bound: TcpListener) {
    let Ok(address) = bound.local_addr() else {
        return;
    };
    let mut incarnation = shared.incarnation.subscribe();
    let mut listener = Some(bound);
    loop {
        let Some(open) = &listener else {
            let restart = Duration::from_millis(shared.behaviour().restart_ms);
            tokio::time::sleep(restart).await;
            listener = TcpListener::bind(address).await.ok();
            if listener.is_some() && leaf.shard == shared.leaves[0].shard {
                shared.record_cold();
            }
            continue;
        };
        tokio::select! {
            changed = incarnation.changed() => {
                if changed.is_err() {
                    return;
                }
                listener = None;
            }
            accepted = open.accept() => {
                if let Ok((stream, _)) = accepted {
                    serve_connection(&shared, &leaf, stream);
                }
            }
        }
    }
}

fn serve_connection(shared: &Arc<Shared>, leaf: &Arc<Leaf>, stream: TcpStream) {
    let is_full = leaf.connections.load(Ordering::Relaxed) >= shared.spec.connections;
    if is_full || shared.behaviour().cut == Some(Cut::Connect) {
        return;
    }
    leaf.connections.fetch_add(1, Ordering::Relaxed);
    let _ = stream.set_nodelay(true);
    let (shared, leaf) = (Arc::clone(shared), Arc::clone(leaf));
    let mut incarnation = shared.incarnation.subscribe();
    tokio::spawn(async move {
        let _guard = ConnectionGuard(Arc::clone(&leaf));
        let served = async {
            tokio::time::sleep(shared.spec.connect_cost).await;
            let service = service_fn(|request| {
                let (shared, leaf) = (Arc::clone(&shared), Arc::clone(&leaf));
                async move { reply::reply(&shared, &leaf, request).await }
            });
            let _ = http1::Builder::new()
                .half_close(shared.behaviour().late_ms > 0)
                .serve_connection(TokioIo::new(stream), service)
                .await;
        };
        tokio::select! {
            () = served => {}
            _ = incarnation.changed() => {}
        }
    });
}

struct ConnectionGuard(Arc<Leaf>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
