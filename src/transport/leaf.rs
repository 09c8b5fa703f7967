//! Connections to leaves: one request at a time on each, kept for the next.
//!
//! A connection is kept only after a whole reply that repeats the request's id. What a
//! leaf sends unasked closes it, so that no bytes of one reply can reach the caller of
//! another request.

use {
    crate::protocol::{
        dialect::Dialect,
        verdict::{Cause, Failure},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        HeaderMap, Request, StatusCode,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
        header::{CONNECTION, HeaderName},
    },
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{
        io,
        net::SocketAddr,
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, task::JoinHandle, time::timeout},
};

/// Time in which a connection must stand. A leaf's own cost of one is some
/// milliseconds; the first packet is sent again after a second.
const CONNECT_TIME: Duration = Duration::from_millis(900);

/// Time for which sent bytes may stay unacknowledged, and a silent peer goes
/// unnoticed: hosts that lost power or lie behind a partition answer nothing.
const SILENCE_TIME: Duration = Duration::from_secs(3);

/// Time between probes of an idle connection.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// Part of a leaf's own idle timeout for which a connection is used again.
const IDLE_PART: f64 = 0.6;

/// Idle time after which a connection is not used again when the leaf does not state
/// its timeout.
const UNSTATED_IDLE: Duration = Duration::from_millis(800);

/// Largest body of a reply, bytes.
const BODY_LIMIT: usize = 8 << 20;

/// Name of the header that states a leaf's idle timeout.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A whole reply of a leaf.
#[derive(Clone, Debug)]
pub struct LeafReply {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body, whole.
    pub body: Bytes,
}

/// A connection to a leaf.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
    usable_until: Instant,
    /// Whether a reply came over it before.
    is_used: bool,
}

/// The task that reads and writes; ends with the connection.
#[derive(Debug)]
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Why a request got no whole reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoReply {
    /// Whether it may have run, and why there is no reply.
    pub failure: Failure,
    /// Whether the connection had been closed before anything was sent.
    pub is_stale: bool,
}

/// Sets what finds out about peers that went silent.
///
/// # Errors
///
/// Fails when the system refuses an option.
pub fn guard_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_TIME)
        .with_interval(PROBE_TIME)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(SILENCE_TIME))
}

impl Connection {
    /// Connects to a leaf.
    ///
    /// # Errors
    ///
    /// Fails when the leaf refuses or does not answer in time.
    pub async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIME, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        guard_socket(&stream)?;
        let (sender, connection) = http1::Builder::new()
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let driver = tokio::spawn(async move {
            // Its end shows at the next request.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver: Driver(driver),
            usable_until: Instant::now() + UNSTATED_IDLE,
            is_used: false,
        })
    }

    /// Returns whether another request may be sent.
    #[must_use]
    pub fn is_usable(&self, now: Instant) -> bool {
        now < self.usable_until && !self.sender.is_closed() && !self.driver.0.is_finished()
    }

    /// Sends a request and reads the whole reply. The connection may be used again when
    /// it is returned with the reply.
    ///
    /// # Errors
    ///
    /// Says whether the request may have run.
    pub async fn exchange(
        mut self,
        request: Request<Full<Bytes>>,
        dialect: &Dialect,
    ) -> Result<(LeafReply, Option<Self>), NoReply> {
        let id = request.headers().get(&dialect.request_id).cloned();
        if self.sender.ready().await.is_err() {
            return Err(self.unsent());
        }
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            // The request comes back only when none of it was written.
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                return Err(if is_unsent { self.unsent() } else { broken() });
            }
        };
        let (head, body) = response.into_parts();
        let body = read(body).await.ok_or_else(broken)?;
        // A reply to another request may have come in late.
        if id.is_some() && head.headers.get(&dialect.request_id) != id.as_ref() {
            return Err(NoReply {
                failure: Failure::may_have_run(Cause::Malformed),
                is_stale: false,
            });
        }
        let kept = self.keep(&head.headers);
        let reply = LeafReply {
            status: head.status,
            headers: head.headers,
            body,
        };
        Ok((reply, kept))
    }

    fn keep(mut self, headers: &HeaderMap) -> Option<Self> {
        let is_closing = headers
            .get_all(CONNECTION)
            .iter()
            .any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        let idle = match idle_timeout(headers) {
            Some(stated) => stated.mul_f64(IDLE_PART),
            None => UNSTATED_IDLE,
        };
        self.usable_until = Instant::now() + idle;
        self.is_used = true;
        (!is_closing && !self.sender.is_closed()).then_some(self)
    }

    fn unsent(&self) -> NoReply {
        NoReply {
            failure: Failure::not_run(Cause::Unreachable),
            is_stale: self.is_used,
        }
    }
}

fn broken() -> NoReply {
    NoReply {
        failure: Failure::may_have_run(Cause::Crashed),
        is_stale: false,
    }
}

async fn read(body: Incoming) -> Option<Bytes> {
    let whole = Limited::new(body, BODY_LIMIT).collect().await.ok()?;
    Some(whole.to_bytes())
}

fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let stated = text.split(',').find_map(|part| {
        let (name, value) = part.split_once('=')?;
        name.trim().eq_ignore_ascii_case("timeout").then_some(value)
    })?;
    stated.trim().parse().ok().map(Duration::from_secs)
}

/// Connections to one leaf, no more than this host's share of what the leaf accepts.
#[derive(Debug, Default)]
pub struct Pool {
    inner: Mutex<Idle>,
}

#[derive(Debug, Default)]
struct Idle {
    connections: Vec<Connection>,
    busy: usize,
}

/// What a pool has for a request.
#[derive(Debug)]
pub enum Slot {
    /// A connection that was kept.
    Kept(Box<Connection>),
    /// Room for a new connection.
    Room,
    /// Neither.
    Full,
}

impl Pool {
    /// Takes a kept connection, or room for one, when fewer than `most` are in use. Each
    /// [`Slot`] but `Full` is given back with [`Pool::put`].
    pub fn take(&self, most: usize, now: Instant) -> Slot {
        let mut idle = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.busy >= most {
            return Slot::Full;
        }
        idle.busy += 1;
        while let Some(connection) = idle.connections.pop() {
            if connection.is_usable(now) {
                return Slot::Kept(Box::new(connection));
            }
        }
        Slot::Room
    }

    /// Gives back what was taken, with the connection when it can be used again.
    pub fn put(&self, connection: Option<Connection>) {
        let mut idle = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        idle.busy = idle.busy.saturating_sub(1);
        idle.connections.extend(connection);
    }

    /// Returns whether a connection is at rest that can be used.
    #[must_use]
    pub fn is_connected(&self, now: Instant) -> bool {
        let idle = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let last = idle.connections.last();
        last.is_some_and(|connection| connection.is_usable(now))
    }
}
