//! Connections to leaves: one request at a time on each, kept for the next.
//!
//! A connection is kept only after a whole reply that repeats the request's id. What a
//! leaf sends unasked closes it, so that no bytes of one reply can reach the caller of
//! another request.
//!
//! A connection has no task of its own: whoever sends over it also reads from it, so that
//! a reply wakes one task once. At rest nobody reads, and what the leaf did meanwhile
//! (closed it, sent bytes unasked) shows when the connection is taken again, before
//! anything is sent.

use {
    crate::protocol::{
        dialect::Dialect,
        verdict::{Cause, Failure},
    },
    bytes::{Bytes, BytesMut},
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
            Mutex, MutexGuard, PoisonError,
            atomic::{AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{net::TcpStream, time::timeout},
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

/// Largest head of a reply, bytes.
const HEAD_LIMIT: usize = 64 << 10;

/// Bytes of bodies that a host reads at once, from all leaves together. Leaves that send
/// bytes without end, many at a time, must not fill the 160 MB of the smallest hosts.
const READING_LIMIT: usize = 32 << 20;

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
    socket: Socket,
    usable_until: Instant,
    /// Whether a reply came over it before.
    is_used: bool,
}

/// Bytes of bodies that are being read from leaves.
#[derive(Debug, Default)]
pub struct Reading {
    bytes: AtomicUsize,
}

/// The part of [`Reading`] that one body takes; given back when dropped.
struct Room<'a> {
    reading: &'a Reading,
    taken: usize,
}

impl Room<'_> {
    /// Takes room for `bytes` more; false when there is none.
    fn take(&mut self, bytes: usize) -> bool {
        self.taken += bytes;
        let before = self.reading.bytes.fetch_add(bytes, Ordering::Relaxed);
        before + bytes <= READING_LIMIT && self.taken <= BODY_LIMIT
    }
}

impl Drop for Room<'_> {
    fn drop(&mut self) {
        self.reading.bytes.fetch_sub(self.taken, Ordering::Relaxed);
    }
}

/// What reads and writes for a connection.
#[derive(Debug)]
struct Socket {
    /// `None` once it has ended.
    open: Option<Box<http1::Connection<TokioIo<TcpStream>, Full<Bytes>>>>,
}

impl Socket {
    /// Reads and writes until `step` is done. A step ends with an error at the latest
    /// when the connection does.
    async fn drive<F: Future>(&mut self, step: F) -> F::Output {
        let mut step = pin!(step);
        poll_fn(|context| {
            if let Some(open) = &mut self.open
                && Pin::new(open).poll(context).is_ready()
            {
                self.open = None;
            }
            step.as_mut().poll(context)
        })
        .await
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

/// Sets what finds out about peers that went silent, also while nothing is sent.
///
/// # Errors
///
/// Fails when the system refuses an option.
pub fn guard_socket(stream: &TcpStream) -> io::Result<()> {
    bound_silence(stream)?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_TIME)
        .with_interval(PROBE_TIME)
        .with_retries(2);
    SockRef::from(stream).set_tcp_keepalive(&probes)
}

/// Sets what finds out that a peer does not acknowledge what was sent. A leaf that falls
/// silent later is left to its request's hedge and deadline: probes would cost four more
/// calls to the system for each connection.
fn bound_silence(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(SILENCE_TIME))
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
        bound_silence(&stream)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(HEAD_LIMIT)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        Ok(Self {
            sender,
            socket: Socket {
                open: Some(Box::new(connection)),
            },
            usable_until: Instant::now() + UNSTATED_IDLE,
            is_used: false,
        })
    }

    /// Returns whether another request may be sent, as far as can be told without
    /// reading from it.
    #[must_use]
    pub fn is_usable(&self, now: Instant) -> bool {
        now < self.usable_until && self.socket.open.is_some()
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
        reading: &Reading,
    ) -> Result<(LeafReply, Option<Self>), NoReply> {
        let id = request.headers().get(&dialect.request_id).cloned();
        let Self { sender, socket, .. } = &mut self;
        if socket.drive(sender.ready()).await.is_err() {
            return Err(self.unsent());
        }
        let response = match socket.drive(sender.try_send_request(request)).await {
            Ok(response) => response,
            // The request comes back only when none of it was written.
            Err(mut error) => {
                let is_unsent = error.take_message().is_some();
                return Err(if is_unsent { self.unsent() } else { broken() });
            }
        };
        let (head, body) = response.into_parts();
        let body = socket.drive(read(body, reading)).await.ok_or_else(broken)?;
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
        (!is_closing && self.socket.open.is_some()).then_some(self)
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

/// Reads a whole body; `None` when it breaks off or is too large.
async fn read(mut body: Incoming, reading: &Reading) -> Option<Bytes> {
    let mut room = Room { reading, taken: 0 };
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        if !room.take(data.len()) {
            return None;
        }
        // Most bodies come in one piece.
        if whole.is_empty() && body.is_end_stream() {
            return Some(data);
        }
        whole.extend_from_slice(&data);
    }
    Some(whole.freeze())
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
        let mut idle = self.lock();
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
        let mut idle = self.lock();
        idle.busy = idle.busy.saturating_sub(1);
        idle.connections.extend(connection);
    }

    /// Returns whether a connection is at rest that can be used.
    #[must_use]
    pub fn is_connected(&self, now: Instant) -> bool {
        let idle = self.lock();
        let last = idle.connections.last();
        last.is_some_and(|connection| connection.is_usable(now))
    }

    /// Closes connections that have been at rest for too long to be used again.
    pub fn close_old(&self, now: Instant) {
        self.lock()
            .connections
            .retain(|connection| connection.is_usable(now));
    }

    fn lock(&self) -> MutexGuard<'_, Idle> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
