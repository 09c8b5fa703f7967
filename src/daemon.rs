//! One daemon: its parts put together, started and stopped.

use {
    crate::{
        collections::Name,
        coordination::rollout::{ChangeRecord, Submission},
        coordinator::{Coordinator, status::Status, store_sync::Watched, submit::Submitted},
        entry::Entry,
        owner::Owner,
        protocol::message::{Batch, LeafReply, MemberKey, Message},
        settings::Settings,
        timer::Timer,
        transport::{
            caller, operator,
            peers::{PeerService, Peers, Served},
            store::HttpStore,
        },
    },
    eyre::{Result, WrapErr},
    futures_util::{StreamExt, stream::BoxStream},
    slog::info,
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        sync::{broadcast, mpsc},
        task::{JoinHandle, JoinSet},
        time::{Instant, sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
    tonic::transport::{Server, server::TcpIncoming},
};

pub mod logging;
pub mod metrics;
pub mod output;
pub mod shared;

use self::shared::Shared;

/// Longest time that a planned stop waits for work in flight.
const STOP_TIME: Duration = Duration::from_secs(15);

/// Time that a stopping daemon waits for the store to take it off the list.
const REMOVAL_TIME: Duration = Duration::from_millis(500);

/// A running daemon.
///
/// Dropping it ends it at once, as a crash would; [`Daemon::stop`] ends it without
/// cutting a request.
pub struct Daemon {
    shared: Arc<Shared>,
    coordinator: Arc<Coordinator<HttpStore>>,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    callers: JoinHandle<()>,
    stop_callers: CancellationToken,
    peers: JoinHandle<()>,
    stop_peers: CancellationToken,
    tasks: JoinSet<()>,
}

/// The listeners of a daemon, bound before anything is told to others.
struct Listeners {
    caller: TcpListener,
    peer: TcpListener,
    operator: TcpListener,
}

impl Listeners {
    /// Binds the addresses in `settings` and notes the ports that port 0 became.
    async fn bind(settings: &mut Settings) -> Result<Self> {
        let caller = bind("caller_address", &mut settings.caller_address).await?;
        let peer = bind("peer_address", &mut settings.peer_address).await?;
        let operator = bind("operator_address", &mut settings.operator_address).await?;
        Ok(Self {
            caller,
            peer,
            operator,
        })
    }
}

async fn bind(name: &str, address: &mut SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(*address)
        .await
        .wrap_err_with(|| format!("settings: {name}: bind {address}"))?;
    *address = listener.local_addr()?;
    Ok(listener)
}

/// What this daemon does for the others.
struct Service {
    coordinator: Arc<Coordinator<HttpStore>>,
    owner: Arc<Owner<HttpStore>>,
}

impl Served for Service {
    fn receive(&self, from: &MemberKey, messages: Vec<Message>) -> Vec<Message> {
        self.coordinator.receive(from, messages)
    }

    fn admits(&self, from: &MemberKey) -> bool {
        self.coordinator.admits(from)
    }

    fn run(&self, batch: Batch) -> BoxStream<'static, LeafReply> {
        self.owner.run(batch).boxed()
    }
}

impl Daemon {
    /// Starts a daemon on the present runtime. It joins the others by itself.
    ///
    /// # Errors
    ///
    /// Fails when a setting is out of its range or an address can't be bound.
    pub async fn start(mut settings: Settings) -> Result<Self> {
        settings.check().wrap_err("settings")?;
        let listeners = Listeners::bind(&mut settings).await?;
        let store = Arc::new(HttpStore::new(settings.store_address));
        let shared = Arc::new(Shared::new(settings)?);
        let (inbox_sender, inbox) = mpsc::unbounded_channel();
        let (proposal_sender, proposals) = mpsc::unbounded_channel();
        let (suspect_sender, suspects) = mpsc::unbounded_channel();
        let peers = Arc::new(Peers::new(Arc::clone(&shared), inbox_sender));
        let owner = Arc::new(Owner::new(
            Arc::clone(&shared),
            Arc::clone(&store),
            suspect_sender,
        ));
        let entry = Arc::new(Entry::new(
            Arc::clone(&shared),
            Arc::clone(&owner),
            Arc::clone(&peers),
        ));
        let coordinator = Arc::new(Coordinator::new(
            Arc::clone(&shared),
            peers,
            Arc::clone(&store),
            proposal_sender,
        ));
        let caller_address = listeners.caller.local_addr()?;
        let operator_address = listeners.operator.local_addr()?;
        let stop_callers = CancellationToken::new();
        let stop_peers = CancellationToken::new();
        let callers = tokio::spawn(caller::serve(
            listeners.caller,
            Arc::clone(&shared),
            entry,
            stop_callers.clone(),
        ));
        let service = Arc::new(Service {
            coordinator: Arc::clone(&coordinator),
            owner,
        });
        let peers = tokio::spawn(serve_peers(
            listeners.peer,
            service,
            Arc::clone(&shared),
            stop_peers.clone(),
        ));
        let mut tasks = JoinSet::new();
        let timer = Timer::start();
        tasks.spawn(Arc::clone(&coordinator).run_ticks(timer.clone()));
        tasks.spawn(Arc::clone(&coordinator).run_inbox(inbox));
        tasks.spawn(Arc::clone(&coordinator).run_proposals(proposals));
        tasks.spawn(Arc::clone(&coordinator).run_suspects(suspects));
        tasks.spawn(Arc::clone(&coordinator).run_watch(Watched::Members));
        tasks.spawn(Arc::clone(&coordinator).run_watch(Watched::Declaration));
        tasks.spawn(Arc::clone(&coordinator).run_seeds());
        tasks.spawn(Arc::clone(&coordinator).run_probes(timer));
        tasks.spawn(Arc::clone(&coordinator).run_hosts((*store).clone()));
        tasks.spawn(operator::serve(
            listeners.operator,
            Arc::clone(&shared),
            Arc::clone(&coordinator),
            CancellationToken::new(),
        ));
        info!(shared.log, "daemon: started"; "id" => &*shared.settings.id,
            "callers" => %caller_address, "operators" => %operator_address);
        Ok(Self {
            shared,
            coordinator,
            caller_address,
            operator_address,
            callers,
            stop_callers,
            peers,
            stop_peers,
            tasks,
        })
    }

    /// Returns the address for callers.
    #[must_use]
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address for operators.
    #[must_use]
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Returns the address for other daemons.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.shared.settings.reachable_address()
    }

    /// Returns the name from the settings.
    #[must_use]
    pub fn id(&self) -> &Name {
        &self.shared.settings.id
    }

    /// Submits a document.
    pub async fn submit(&self, submission: &Submission) -> Submitted {
        self.coordinator.submit(submission).await
    }

    /// Returns the audit trail, with the archives when `all` is set.
    ///
    /// # Errors
    ///
    /// Fails when the archives can't be read.
    pub async fn history(&self, all: bool) -> Result<Vec<ChangeRecord>> {
        Ok(self.coordinator.history(all).await?)
    }

    /// Returns what this daemon knows of the whole.
    #[must_use]
    pub fn status(&self) -> Status {
        self.coordinator.status()
    }

    /// Returns a listener for the revisions that come into force here.
    #[must_use]
    pub fn revisions(&self) -> broadcast::Receiver<u64> {
        self.coordinator.revisions()
    }

    /// Stops the daemon without cutting a request: it fails readiness, serves on
    /// while the balancer turns away, finishes what callers sent, hands its leaves
    /// to their next owners, and leaves the member list.
    pub async fn stop(mut self) {
        info!(self.shared.log, "daemon: stopping");
        self.shared.ready.store(false, Ordering::Relaxed);
        sleep(self.shared.settings.drain()).await;
        self.stop_callers.cancel();
        let _ = timeout(STOP_TIME, &mut self.callers).await;
        self.coordinator.leave();
        let by = Instant::now() + STOP_TIME;
        while !self.coordinator.has_left() && Instant::now() < by {
            sleep(Duration::from_millis(5)).await;
        }
        // The list is tidier without this daemon; the others remove it otherwise.
        sleep(REMOVAL_TIME).await;
        self.stop_peers.cancel();
        let _ = timeout(STOP_TIME, &mut self.peers).await;
        info!(self.shared.log, "daemon: stopped");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.callers.abort();
        self.peers.abort();
        self.tasks.abort_all();
    }
}

async fn serve_peers(
    listener: TcpListener,
    service: Arc<Service>,
    shared: Arc<Shared>,
    stop: CancellationToken,
) {
    let log = shared.log.clone();
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let served = Server::builder()
        .initial_stream_window_size(1 << 20)
        .initial_connection_window_size(8 << 20)
        .add_service(PeerService::server(service, shared))
        .serve_with_incoming_shutdown(incoming, stop.cancelled_owned())
        .await;
    if let Err(error) = served {
        slog::error!(log, "peers: server ended"; "error" => %error);
    }
}
