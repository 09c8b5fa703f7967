//! Pooled HTTP/1 connections to leaves, with one request at a time on each.
//!
//! A connection is reused only after a complete reply that repeats the request's id. Bytes
//! that a leaf sends without a request close it, so that no bytes of one reply can reach the
//! caller of another request. All attempts of a request have the same id, so each attempt uses
//! another connection: a late copy of an earlier reply can't be taken for the reply to it.
//!
//! A connection has no task of its own: the task that sends a request also reads the reply,
//! so that a reply wakes one task once. An idle connection is not read. What the leaf did
//! meanwhile (closed it, sent bytes without a request) is noticed when the connection is
//! taken from the pool again, before anything is sent.

use {
    crate::protocol::{
        dialect::Dialect,
        verdict::{Cause, Failure},
    },
    bytes::{Bytes, BytesMut},
    futures_util::{StreamExt, stream::FuturesUnordered},
    http_body_util::{BodyExt, Full},
    hyper::{
        HeaderMap, Request, StatusCode,
        body::{Body, Incoming},
        client::conn::http1::{self, SendRequest},
        header::{CONNECTION, HeaderName},
    },
    hyper_util::rt::TokioIo,
    socket2::{SockRef, TcpKeepalive},
    std::{
        future::{Future, poll_fn},
        io,
        net::SocketAddr,
        pin::{Pin, pin},
        sync::{
            Arc, Mutex, MutexGuard, PoisonError,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, time::timeout},
};

mod reply_buffers;

use self::reply_buffers::{CurrentReply, MeteredStream};

pub use self::reply_buffers::{HeldBytes, ReplyBuffers};

/// Timeout for opening a connection. A leaf takes some milliseconds to accept one; TCP
/// sends a lost first packet again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(900);

/// Time for which sent bytes may stay unacknowledged, and an unreachable peer may go
/// undetected, before the connection fails (TCP user timeout). Hosts that lost power or are
/// behind a network partition acknowledge nothing.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle time before the first keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Share of the idle timeout that a leaf states for which a connection is reused.
const IDLE_TIMEOUT_RATIO: f64 = 0.6;

/// Idle time after which a connection is not reused when the leaf states no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest idle timeout of a leaf that counts.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_hours(1);

/// Largest body of a reply.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Largest head of a reply.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Number of the next connection of this process.
static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

/// Header in which a leaf states its idle timeout.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// A complete reply of a leaf.
#[derive(Clone, Debug)]
pub struct LeafReply {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// What this host keeps of it.
    pub held: Arc<HeldBytes>,
}

/// A connection to a leaf.
#[derive(Debug)]
pub struct Connection {
    /// Unique in this process.
    number: u64,
    sender: SendRequest<Full<Bytes>>,
    driver: Driver,
    current: CurrentReply,
    reusable_until: Instant,
    /// Whether it has carried a complete reply.
    is_reused: bool,
}

/// What the address of a leaf does with a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// It accepts it.
    Accepts,
    /// It refuses it: no process listens.
    Refuses,
    /// Neither in time.
    Silent,
}

/// Opens a connection to `address` within `limit` and closes it.
pub async fn check_listener(address: SocketAddr, limit: Duration) -> Listener {
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Listener::Accepts,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Listener::Refuses,
        Ok(Err(_)) | Err(_) => Listener::Silent,
    }
}

/// Opens a connection to each of `addresses` at the same time, and returns whether one accepts it
/// within `limit`.
pub async fn accepts_any(addresses: impl Iterator<Item = SocketAddr>, limit: Duration) -> bool {
    let checks = addresses.map(|address| check_listener(address, limit));
    let mut checks: FuturesUnordered<_> = checks.collect();
    while let Some(listener) = checks.next().await {
        if listener == Listener::Accepts {
            return true;
        }
    }
    false
}

/// The connections on which a request was sent.
#[derive(Debug, Default)]
pub struct UsedConnections {
    numbers: Mutex<Vec<u64>>,
}

impl UsedConnections {
    /// Records that the request is about to be sent on `connection`.
    pub fn record(&self, connection: &Connection) {
        self.lock().push(connection.number);
    }

    fn contains(&self, connection: &Connection) -> bool {
        self.lock().contains(&connection.number)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<u64>> {
        self.numbers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Does the reads and writes of a connection.
#[derive(Debug)]
struct Driver {
    /// `None` once the connection has ended.
    io: Option<Box<http1::Connection<TokioIo<MeteredStream>, Full<Bytes>>>>,
}

impl Driver {
    /// Reads and writes until `operation` completes. When the connection ends first, the
    /// operation completes with an error.
    async fn run<F: Future>(&mut self, operation: F) -> F::Output {
        let mut operation = pin!(operation);
        poll_fn(|context| {
            if let Some(io) = &mut self.io
                && Pin::new(io).poll(context).is_ready()
            {
                self.io = None;
            }
            operation.as_mut().poll(context)
        })
        .await
    }
}

/// Why a request got no complete reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoReply {
    /// Whether it may have run, and why there is no reply.
    pub failure: Failure,
    /// Whether the leaf had closed the reused connection before anything was sent.
    pub was_idle: bool,
}

/// Sets the socket options that detect an unreachable peer, also while nothing is sent:
/// keepalive probes and a timeout for unacknowledged bytes. Sets `TCP_NODELAY` too.
///
/// # Errors
///
/// Fails when the operating system rejects an option.
pub fn enable_keepalive(stream: &TcpStream) -> io::Result<()> {
    set_unacked_timeout(stream)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    SockRef::from(stream).set_tcp_keepalive(&keepalive)
}

/// Sets the timeout for unacknowledged bytes, and `TCP_NODELAY`. A leaf that stops
/// responding after it has acknowledged the request is covered by the request's hedge and
/// deadline: keepalive probes would cost four more system calls per connection.
fn set_unacked_timeout(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(UNACKED_TIMEOUT))
}

impl Connection {
    /// Connects to a leaf.
    ///
    /// # Errors
    ///
    /// Fails when the leaf refuses the connection or does not accept it in time.
    pub async fn open(address: SocketAddr, buffers: &Arc<ReplyBuffers>) -> io::Result<Self> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        set_unacked_timeout(&stream)?;
        let current: CurrentReply = Arc::new(Mutex::new(Arc::new(HeldBytes::new(buffers))));
        let stream = MeteredStream::new(stream, Arc::clone(&current));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        Ok(Self {
            number: NEXT_NUMBER.fetch_add(1, Ordering::Relaxed),
            sender,
            driver: Driver {
                io: Some(Box::new(connection)),
            },
            current,
            reusable_until: Instant::now() + DEFAULT_IDLE_TIMEOUT,
            is_reused: false,
        })
    }

    /// Returns whether another request may be sent, as far as this is known without reading
    /// from the connection.
    #[must_use]
    pub fn is_reusable(&self, now: Instant) -> bool {
        now < self.reusable_until && self.driver.io.is_some()
    }

    /// Sends a request and reads the whole reply. Returns the connection with the reply
    /// when it can be reused.
    ///
    /// # Errors
    ///
    /// Fails when there is no complete reply to this request; the error shows whether the
    /// request may have run.
    pub async fn exchange(
        mut self,
        request: Request<Full<Bytes>>,
        dialect: &Dialect,
        buffers: &Arc<ReplyBuffers>,
    ) -> Result<(LeafReply, Option<Self>), NoReply> {
        let id = request.headers().get(&dialect.request_id).cloned();
        let kept = self.start_reply(buffers);
        let Self { sender, driver, .. } = &mut self;
        if driver.run(sender.ready()).await.is_err() {
            return Err(self.unsent_error());
        }
        let response = match driver.run(sender.try_send_request(request)).await {
            Ok(response) => response,
            // The error holds the request only when no byte of it was written.
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                return Err(if is_unsent {
                    self.unsent_error()
                } else {
                    broken_reply()
                });
            }
        };
        kept.record_head();
        let (head, body) = response.into_parts();
        let body = driver.run(read_body(body)).await.ok_or_else(broken_reply)?;
        // This may be a late reply to another request.
        if id.is_some() && head.headers.get(&dialect.request_id) != id.as_ref() {
            return Err(NoReply {
                failure: Failure::may_have_run(Cause::Malformed),
                was_idle: false,
            });
        }
        // Without an id, a late copy could not be told from the reply to the next request.
        self.start_reply(buffers);
        let reusable = self.into_reusable(&head.headers).filter(|_| id.is_some());
        let reply = LeafReply {
            status: head.status,
            headers: head.headers,
            body,
            held: kept,
        };
        Ok((reply, reusable))
    }

    /// Returns the connection when a reply with `headers` allows its reuse.
    fn into_reusable(mut self, headers: &HeaderMap) -> Option<Self> {
        let is_closing = headers
            .get_all(CONNECTION)
            .iter()
            .any(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
        let idle_time = match idle_timeout(headers) {
            Some(stated) => stated.min(MAX_IDLE_TIMEOUT).mul_f64(IDLE_TIMEOUT_RATIO),
            None => DEFAULT_IDLE_TIMEOUT,
        };
        self.reusable_until = Instant::now() + idle_time;
        self.is_reused = true;
        (!is_closing && self.driver.io.is_some()).then_some(self)
    }

    /// Counts what is read from now on as bytes of another reply, and returns its count.
    fn start_reply(&self, buffers: &Arc<ReplyBuffers>) -> Arc<HeldBytes> {
        let held = Arc::new(HeldBytes::new(buffers));
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        *current = Arc::clone(&held);
        held
    }

    fn unsent_error(&self) -> NoReply {
        NoReply {
            failure: Failure::not_run(Cause::Unreachable),
            was_idle: self.is_reused,
        }
    }
}

fn broken_reply() -> NoReply {
    NoReply {
        failure: Failure::may_have_run(Cause::Crashed),
        was_idle: false,
    }
}

/// Reads a whole body; `None` when it is cut off or exceeds a limit.
async fn read_body(mut body: Incoming) -> Option<Bytes> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if whole.len() + data.len() > MAX_BODY_BYTES {
            return None;
        }
        // Most bodies come in one frame and need no copy.
        if whole.is_empty() && body.is_end_stream() {
            return Some(data);
        }
        whole.extend_from_slice(&data);
    }
    Some(whole.freeze())
}

/// Returns the idle timeout that a leaf states in its `keep-alive` header.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let stated = text.split(',').find_map(|part| {
        let (name, value) = part.split_once('=')?;
        name.trim().eq_ignore_ascii_case("timeout").then_some(value)
    })?;
    stated.trim().parse().ok().map(Duration::from_secs)
}

/// Connections to one leaf, at most this host's share of those that the leaf accepts.
#[derive(Debug, Default)]
pub struct Pool {
    state: Mutex<PoolState>,
}

#[derive(Debug, Default)]
struct PoolState {
    /// Idle connections; the last one was used last.
    idle: Vec<Connection>,
    /// Number of connections that are in use or being opened.
    in_use: usize,
}

/// What a pool offers to a request.
#[derive(Debug)]
pub enum Slot {
    /// An idle connection.
    Idle(Box<Connection>),
    /// Permission to open a new connection.
    New,
    /// Nothing: all connections are in use.
    Full,
}

impl Pool {
    /// Takes an idle connection that is not one of `used`, or the permission to open one, when
    /// fewer than `limit` are in use. Every [`Slot`] but `Full` must be returned with
    /// [`Pool::release`].
    pub fn acquire(&self, limit: usize, used: &UsedConnections, now: Instant) -> Slot {
        let mut state = self.lock();
        if state.in_use >= limit {
            return Slot::Full;
        }
        state.in_use += 1;
        state.idle.retain(|connection| connection.is_reusable(now));
        let unused = state
            .idle
            .iter()
            .rposition(|connection| !used.contains(connection));
        if let Some(index) = unused {
            return Slot::Idle(Box::new(state.idle.remove(index)));
        }
        // The leaf counts idle connections too.
        if state.in_use + state.idle.len() > limit {
            state.idle.remove(0);
        }
        Slot::New
    }

    /// Returns what was taken, with the connection when it can be reused.
    pub fn release(&self, connection: Option<Connection>) {
        let mut state = self.lock();
        state.in_use = state.in_use.saturating_sub(1);
        state.idle.extend(connection);
    }

    /// Returns whether the connection that is taken next is idle and reusable.
    #[must_use]
    pub fn is_connected(&self, now: Instant) -> bool {
        let state = self.lock();
        let last = state.idle.last();
        last.is_some_and(|connection| connection.is_reusable(now))
    }

    /// Closes connections that have been idle for too long to be reused.
    pub fn close_expired(&self, now: Instant) {
        self.lock()
            .idle
            .retain(|connection| connection.is_reusable(now));
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
