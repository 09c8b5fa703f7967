//! A TCP relay in front of a daemon or the store, with which a test partitions the
//! network between processes.

use {
    eyre::{Result, WrapErr},
    std::{
        collections::HashSet,
        net::{IpAddr, SocketAddr},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream},
        sync::watch,
        task::JoinHandle,
    },
};

/// Maximum number of bytes relayed at once.
const CHUNK_BYTES: usize = 16 << 10;

/// The sources whose connections through a relay are blocked.
#[derive(Clone, Debug, Default)]
struct Blocked {
    all: bool,
    sources: HashSet<IpAddr>,
}

impl Blocked {
    fn covers(&self, source: IpAddr) -> bool {
        self.all || self.sources.contains(&source)
    }
}

/// Relays TCP connections to another address. While a source is blocked, no data is
/// relayed in either direction and no connection is closed, as on a network that loses
/// every packet. Data sent meanwhile is delivered once the source is no longer blocked.
pub struct Relay {
    address: SocketAddr,
    blocked: watch::Sender<Blocked>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to `upstream` that listens on `ip`, at a port chosen by the kernel.
    ///
    /// # Errors
    ///
    /// Fails when the port can't be bound.
    pub async fn start(ip: IpAddr, upstream: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind((ip, 0))
            .await
            .wrap_err("relay: bind a port")?;
        let address = listener.local_addr()?;
        let blocked = watch::Sender::new(Blocked::default());
        let task = tokio::spawn(accept(listener, upstream, blocked.subscribe()));
        Ok(Self {
            address,
            blocked,
            task,
        })
    }

    /// Returns the address that the relay listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Blocks the open and new connections from `source`.
    pub fn block_source(&self, source: IpAddr) {
        self.blocked.send_modify(|blocked| {
            blocked.sources.insert(source);
        });
    }

    /// Blocks the connections from all sources.
    pub fn block_all(&self) {
        self.blocked.send_modify(|blocked| blocked.all = true);
    }

    /// Unblocks all sources.
    pub fn unblock_all(&self) {
        self.blocked.send_replace(Blocked::default());
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, upstream: SocketAddr, blocked: watch::Receiver<Blocked>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok((client, source)) = accepted else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        connections.spawn(relay_connection(
            client,
            source.ip(),
            upstream,
            blocked.clone(),
        ));
    }
}

async fn relay_connection(
    client: TcpStream,
    source: IpAddr,
    upstream: SocketAddr,
    blocked: watch::Receiver<Blocked>,
) {
    let Ok(server) = TcpStream::connect(upstream).await else {
        return;
    };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    // Closes both directions when either ends: a process that has closed its end
    // has no use for the remaining data.
    tokio::select! {
        () = copy_chunks(client_read, server_write, source, blocked.clone()) => {}
        () = copy_chunks(server_read, client_write, source, blocked) => {}
    }
}

async fn copy_chunks(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    source: IpAddr,
    mut blocked: watch::Receiver<Blocked>,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut chunk).await {
        let is_open = blocked
            .wait_for(|blocked| !blocked.covers(source))
            .await
            .is_ok();
        if !is_open || to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
    let _ = blocked.wait_for(|blocked| !blocked.covers(source)).await;
}
