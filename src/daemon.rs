//! A daemon: builds its components, starts their tasks and servers, and shuts them down.

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
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::{broadcast, mpsc},
        task::{JoinHandle, JoinSet},
        time::{Instant, sleep, sleep_until, timeout, timeout_at},
    },
    tokio_util::sync::CancellationToken,
    tonic::transport::{Server, server::TcpIncoming},
};

pub mod logging;
pub mod metrics;
pub mod output;
pub mod shared;

use self::shared::Shared;

/// Limit on each wait of a shutdown: for callers' requests in flight, for the handover of the
/// leaves, and for peers' and operators' requests in flight.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(15);

/// Time for sending the responses to the requests that were still in flight after that.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that a shutdown leaves for the removal of this daemon from the stored member list.
const REMOVAL_DELAY: Duration = Duration::from_millis(500);

/// A running daemon.
///
/// Dropping it aborts its tasks, as a crash would. [`Daemon::stop`] shuts it down without
/// interrupting a request.
pub struct Daemon {
    shared: Arc<Shared>,
    coordinator: Arc<Coordinator<HttpStore>>,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    callers: JoinHandle<()>,
    stop_callers: CancellationToken,
    peers: JoinHandle<()>,
    stop_peers: CancellationToken,
    operators: JoinHandle<()>,
    stop_operators: CancellationToken,
    tasks: JoinSet<()>,
}

/// The listeners of a daemon, bound before it contacts the store or other daemons.
struct Listeners {
    caller: TcpListener,
    peer: TcpListener,
    operator: TcpListener,
}

impl Listeners {
    /// Binds the addresses in `settings`. Replaces port 0 there by the port that the kernel
    /// assigned.
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

/// Handler of calls from other daemons.
struct PeerHandler {
    coordinator: Arc<Coordinator<HttpStore>>,
    owner: Arc<Owner<HttpStore>>,
}

impl Served for PeerHandler {
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
    /// Starts a daemon on the current Tokio runtime. It joins the cluster in the background.
    ///
    /// # Errors
    ///
    /// Fails when a setting is out of range or an address can't be bound.
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
        let handler = Arc::new(PeerHandler {
            coordinator: Arc::clone(&coordinator),
            owner,
        });
        let peers = tokio::spawn(serve_peers(
            listeners.peer,
            handler,
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
        let stop_operators = CancellationToken::new();
        let operators = tokio::spawn(operator::serve(
            listeners.operator,
            Arc::clone(&shared),
            Arc::clone(&coordinator),
            stop_operators.clone(),
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
            operators,
            stop_operators,
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

    /// Returns this daemon's id.
    #[must_use]
    pub fn id(&self) -> &Name {
        &self.shared.settings.id
    }

    /// Submits a declaration document.
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

    /// Returns the state of the cluster as this daemon sees it.
    #[must_use]
    pub fn status(&self) -> Status {
        self.coordinator.status()
    }

    /// Subscribes to the revisions that this daemon puts into force.
    #[must_use]
    pub fn revisions(&self) -> broadcast::Receiver<u64> {
        self.coordinator.revisions()
    }

    /// Shuts the daemon down without interrupting a request: fails readiness, keeps serving
    /// while the load balancer moves its traffic elsewhere, completes the requests in flight,
    /// hands the leaves to their next owners, and leaves the member list.
    pub async fn stop(mut self) {
        info!(self.shared.log, "daemon: stopping");
        let close_at = Instant::now() + self.shared.settings.drain();
        let respond_by = close_at + SHUTDOWN_TIMEOUT;
        self.shared.stop(respond_by);
        sleep_until(close_at).await;
        self.stop_callers.cancel();
        let _ = timeout_at(respond_by + RESPONSE_TIMEOUT, &mut self.callers).await;
        self.coordinator.leave();
        let deadline = Instant::now() + SHUTDOWN_TIMEOUT;
        while !self.coordinator.has_left() && Instant::now() < deadline {
            sleep(Duration::from_millis(5)).await;
        }
        // The entry is removed now if possible; otherwise the other daemons remove it later.
        sleep(REMOVAL_DELAY).await;
        self.stop_peers.cancel();
        let _ = timeout(SHUTDOWN_TIMEOUT, &mut self.peers).await;
        self.stop_operators.cancel();
        let _ = timeout(SHUTDOWN_TIMEOUT, &mut self.operators).await;
        info!(self.shared.log, "daemon: stopped");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.callers.abort();
        self.peers.abort();
        self.operators.abort();
        self.tasks.abort_all();
    }
}

async fn serve_peers(
    listener: TcpListener,
    handler: Arc<PeerHandler>,
    shared: Arc<Shared>,
    stop: CancellationToken,
) {
    let log = shared.log.clone();
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let result = Server::builder()
        .initial_stream_window_size(1 << 20)
        .initial_connection_window_size(8 << 20)
        .add_service(PeerService::server(handler, shared))
        .serve_with_incoming_shutdown(incoming, stop.cancelled_owned())
        .await;
    if let Err(error) = result {
        slog::error!(log, "peers: server ended"; "error" => %error);
    }
}
