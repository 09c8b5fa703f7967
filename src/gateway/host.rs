//! A whole entry host: its listeners, and the tasks that keep up what it knows.

use {
    super::{Gateway, HostSettings, enlist, listener, piece::Helping, upkeep::Follower},
    crate::{
        clock::millis,
        protocol::dialect::Dialect,
        transport::{fleet, registry::Registry},
    },
    eyre::{Result, WrapErr},
    slog::{Logger, error, info},
    std::{net::SocketAddr, sync::Arc},
    tokio::{
        net::{TcpListener, TcpSocket},
        sync::oneshot,
        task::JoinHandle,
        time::{Instant, sleep_until, timeout_at},
    },
    tokio_util::sync::CancellationToken,
};

/// Part of the time to stop in which callers are still taken: the balancer needs two
/// questions, a second apart, to turn them away.
const SERVE_PART: f64 = 0.6;

/// Part of the time to stop after which the process ends in any case.
const END_PART: f64 = 0.95;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// A running entry host.
pub struct Host {
    gateway: Arc<Gateway>,
    /// Stops taking callers.
    closing: CancellationToken,
    /// Ends everything else.
    ended: CancellationToken,
    callers: JoinHandle<()>,
    enlisted: JoinHandle<()>,
}

impl Host {
    /// Starts a host on the present runtime.
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
        let callers = bind(&mut settings.caller_address)?;
        let ready = settings.ready_address.as_mut().map(bind).transpose()?;
        let peers = settings.peer_address.as_mut().map(bind).transpose()?;
        let metrics = settings.metrics_address.as_mut().map(bind).transpose()?;
        let gateway = Arc::new(Gateway::new(settings, dialect, log)?);
        let registry = Arc::new(registry);
        let closing = CancellationToken::new();
        let ended = CancellationToken::new();
        info!(gateway.log, "host: started"; "callers" => %gateway.settings.caller_address,
            "registry" => %gateway.settings.registry_address);
        if let Some(ready) = ready {
            tokio::spawn(listener::readiness(
                ready,
                Arc::clone(&gateway),
                ended.clone(),
            ));
        }
        if let Some(metrics) = metrics {
            tokio::spawn(listener::metrics(
                metrics,
                Arc::clone(&gateway),
                ended.clone(),
            ));
        }
        if let Some(peers) = peers {
            tokio::spawn(serve_peers(peers, Arc::clone(&gateway), ended.clone()));
        }
        let (before, told) = oneshot::channel();
        let follower = Follower::new(Arc::clone(&gateway), Arc::clone(&registry), before);
        tokio::spawn(follower.run(ended.clone()));
        let enlisted = tokio::spawn(enlist::enlist(
            Arc::clone(&gateway),
            registry,
            told,
            closing.clone(),
        ));
        let callers = tokio::spawn(listener::callers(
            callers,
            Arc::clone(&gateway),
            closing.clone(),
        ));
        Ok(Self {
            gateway,
            closing,
            ended,
            callers,
            enlisted,
        })
    }

    /// Returns the settings, with the addresses that were bound.
    #[must_use]
    pub fn settings(&self) -> &HostSettings {
        &self.gateway.settings
    }

    /// Puts settings in force that were read again.
    pub fn reload(&self, settings: &HostSettings) {
        self.gateway.reload(settings);
    }

    /// Stops without cutting a request: the host is no longer ready, serves on while the
    /// balancer turns callers away, and finishes what they sent.
    pub async fn stop(mut self) {
        info!(self.gateway.log, "host: stopping");
        let begun = Instant::now();
        let part = |part: f64| begun + self.gateway.settings.stop_time.mul_f64(part);
        self.gateway.stop();
        sleep_until(part(SERVE_PART)).await;
        self.closing.cancel();
        let callers = timeout_at(part(END_PART), &mut self.callers).await;
        self.enlisted.abort();
        self.ended.cancel();
        info!(self.gateway.log, "host: stopped"; "all_answered" => callers.is_ok(),
            "took_ms" => millis(begun.elapsed()));
    }
}

async fn serve_peers(listener: TcpListener, gateway: Arc<Gateway>, stop: CancellationToken) {
    let pieces = Helping(Arc::clone(&gateway));
    if let Err(error) = fleet::serve(listener, gateway.held.clone(), pieces, stop).await {
        error!(gateway.log, "host: the server for other hosts ended"; "error" => %error);
    }
}

/// Binds `address`; a port of 0 becomes the one that the system chose.
fn bind(address: &mut SocketAddr) -> Result<TcpListener> {
    let socket = TcpSocket::new_v4().wrap_err("open a socket")?;
    socket.set_reuseaddr(true).wrap_err("set an option")?;
    socket
        .bind(*address)
        .wrap_err_with(|| format!("bind {address}"))?;
    let listener = socket
        .listen(BACKLOG)
        .wrap_err_with(|| format!("listen on {address}"))?;
    *address = listener.local_addr().wrap_err("read the bound address")?;
    Ok(listener)
}
