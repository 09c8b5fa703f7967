//! A whole entry host: its listeners, its registration and its registry sync.

use {
    super::{
        Gateway, HostSettings, copy_proof, crashes, leaf_reach,
        limits::{self, LimitServer},
        listener,
        organisations::OrganisationServer,
        placement::PlacementServer,
        registration::{self, OwnEntry},
        registry_sync::RegistrySync,
        relay::RelayServer,
        rollouts::{self, RolloutServer},
        subquery::SubqueryServer,
    },
    crate::{
        clock::millis,
        protocol::dialect::Dialect,
        transport::{
            connection::End,
            fleet::{self, FleetService},
            registry::Registry,
        },
    },
    eyre::{Result, WrapErr},
    slog::{Logger, error, info},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpSocket},
        sync::watch,
        task::JoinHandle,
        time::{Instant, sleep, sleep_until, timeout, timeout_at},
    },
    tokio_util::sync::CancellationToken,
};

/// Time for the server for other entry hosts to send what the last subqueries returned.
const PEERS_STOP_TIMEOUT: Duration = Duration::from_millis(100);

/// Delay before a failed registry sync starts again with a read of all entries.
const SYNC_RESTART_DELAY: Duration = Duration::from_secs(1);

/// Connections per listener that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// A running entry host.
pub struct Host {
    gateway: Arc<Gateway>,
    /// Stops the caller listener and the registration.
    callers_stop: CancellationToken,
    /// Stops all other tasks.
    tasks_stop: CancellationToken,
    callers: JoinHandle<()>,
    peers: Option<JoinHandle<()>>,
    registration: JoinHandle<()>,
}

impl Host {
    /// Starts a host on the current Tokio runtime.
    ///
    /// # Errors
    ///
    /// Fails when an address can't be bound.
    pub fn start<R: Registry>(
        mut settings: HostSettings,
        dialect: Dialect,
        registry: R,
        log: Logger,
    ) -> Result<Self> {
        let ready = settings.ready_address.as_mut().map(listen).transpose()?;
        let peers = settings.peer_address.as_mut().map(listen).transpose()?;
        let metrics = settings.metrics_address.as_mut().map(listen).transpose()?;
        // Last, since the kernel accepts callers from here on.
        let callers = listen(&mut settings.caller_address)?;
        let gateway = Arc::new(Gateway::new(settings, dialect, log)?);
        let registry = Arc::new(registry);
        let callers_stop = CancellationToken::new();
        let tasks_stop = CancellationToken::new();
        info!(gateway.log, "host: started"; "callers" => %gateway.settings.caller_address,
            "registry" => %gateway.settings.registry_address);
        if let Some(ready) = ready {
            tokio::spawn(listener::readiness(
                ready,
                Arc::clone(&gateway),
                tasks_stop.clone(),
            ));
        }
        if let Some(metrics) = metrics {
            tokio::spawn(listener::metrics(
                metrics,
                Arc::clone(&gateway),
                tasks_stop.clone(),
            ));
        }
        let serve_peers = |peers| serve_peers(peers, Arc::clone(&gateway), tasks_stop.clone());
        let peers = peers.map(|peers| tokio::spawn(serve_peers(peers)));
        let (entry_sender, own_entry) = watch::channel(None);
        tokio::spawn(keep_in_sync(
            Arc::clone(&gateway),
            Arc::clone(&registry),
            entry_sender,
            tasks_stop.clone(),
        ));
        tokio::spawn(limits::claim_shares(
            Arc::clone(&gateway),
            tasks_stop.clone(),
        ));
        tokio::spawn(crashes::report_crashes(
            Arc::clone(&gateway),
            Arc::clone(&registry),
            tasks_stop.clone(),
        ));
        tokio::spawn(leaf_reach::watch_reach(
            Arc::clone(&gateway),
            tasks_stop.clone(),
        ));
        tokio::spawn(copy_proof::keep_proven(
            Arc::clone(&gateway),
            Arc::clone(&registry),
            tasks_stop.clone(),
        ));
        rollouts::start(&gateway, &registry, &tasks_stop);
        let registration = tokio::spawn(registration::keep_registered(
            Arc::clone(&gateway),
            registry,
            own_entry,
            callers_stop.clone(),
        ));
        let callers = tokio::spawn(listener::callers(
            callers,
            Arc::clone(&gateway),
            callers_stop.clone(),
        ));
        Ok(Self {
            gateway,
            callers_stop,
            tasks_stop,
            callers,
            peers,
            registration,
        })
    }

    /// Returns the settings, with the ports that were bound.
    #[must_use]
    pub fn settings(&self) -> &HostSettings {
        &self.gateway.settings
    }

    /// Returns the state that its requests share.
    #[must_use]
    pub fn gateway(&self) -> &Arc<Gateway> {
        &self.gateway
    }

    /// Applies those of `settings` that can change while the host runs.
    pub fn reload(&self, settings: &HostSettings) {
        self.gateway.reload(settings);
    }

    /// Stops without breaking off requests. The host is no longer ready, keeps serving
    /// requests that can end in time while the load balancer sends callers elsewhere, and
    /// completes the requests and the subqueries in flight.
    pub async fn stop(mut self) {
        let started = Instant::now();
        let schedule = self.gateway.stop();
        let after = |at: std::time::Instant| millis(at.saturating_duration_since(schedule.start));
        info!(self.gateway.log, "host: stopping"; "accept_ms" => after(schedule.accept_until),
            "respond_ms" => after(schedule.respond_by), "end_ms" => after(schedule.end));
        sleep_until(schedule.accept_until.into()).await;
        self.callers_stop.cancel();
        // Each connection ends by itself, at the end of the stop time at the latest.
        let _ = (&mut self.callers).await;
        let unanswered = self.gateway.metrics.unanswered_count(End::HostEnded);
        self.gateway.subqueries.close();
        let subqueries = timeout_at(schedule.end.into(), self.gateway.subqueries.wait()).await;
        self.registration.abort();
        self.tasks_stop.cancel();
        if let Some(peers) = &mut self.peers {
            // Connections of hosts that don't close them would keep the server running.
            let _ = timeout(PEERS_STOP_TIMEOUT, peers).await;
        }
        info!(self.gateway.log, "host: stopped"; "all_answered" => unanswered == 0,
            "unanswered" => unanswered,
            "subqueries_ended" => subqueries.is_ok(), "took_ms" => millis(started.elapsed()));
    }
}

/// Runs the registry sync until `stop`, and starts it again if it panics: an entry that it can't
/// handle must not leave the host with a copy that never changes.
async fn keep_in_sync<R: Registry>(
    gateway: Arc<Gateway>,
    registry: Arc<R>,
    own_entry: watch::Sender<Option<OwnEntry>>,
    stop: CancellationToken,
) {
    loop {
        let sync = RegistrySync::new(
            Arc::clone(&gateway),
            Arc::clone(&registry),
            own_entry.clone(),
        );
        let Err(failure) = tokio::spawn(sync.run(stop.clone())).await else {
            return;
        };
        gateway.record_failed_sync();
        error!(gateway.log, "host: registry sync failed; it starts again"; "error" => %failure);
        sleep(SYNC_RESTART_DELAY).await;
    }
}

/// Serves other entry hosts until `stop`.
async fn serve_peers(listener: TcpListener, gateway: Arc<Gateway>, stop: CancellationToken) {
    let service = FleetService {
        registry_copy: gateway.registry_copy.clone(),
        subqueries: SubqueryServer(Arc::clone(&gateway)),
        limits: LimitServer(Arc::clone(&gateway)),
        relays: RelayServer(Arc::clone(&gateway)),
        organisations: OrganisationServer(Arc::clone(&gateway)),
        placements: PlacementServer(Arc::clone(&gateway)),
        rollouts: RolloutServer(Arc::clone(&gateway)),
    };
    let served = fleet::serve(listener, service, stop);
    if let Err(error) = served.await {
        error!(gateway.log, "host: server for other entry hosts failed"; "error" => %error);
    }
}

/// Listens on `address`, and replaces a port of 0 in it by the one that the system chose.
fn listen(address: &mut SocketAddr) -> Result<TcpListener> {
    let socket = TcpSocket::new_v4().wrap_err("open a socket")?;
    socket.set_reuseaddr(true).wrap_err("set SO_REUSEADDR")?;
    socket
        .bind(*address)
        .wrap_err_with(|| format!("bind {address}"))?;
    let listener = socket
        .listen(BACKLOG)
        .wrap_err_with(|| format!("listen on {address}"))?;
    *address = listener.local_addr().wrap_err("read the bound address")?;
    Ok(listener)
}
