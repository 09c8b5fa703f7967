//! Pool of HTTP/1 connections to leaves, and one attempt on a leaf over one of them.
//!
//! A cancelled request keeps its slot until the target has closed the connection, or until
//! `CLOSE_GRACE` past its deadline.

use {
    crate::{
        clock::unix_ms,
        collections::{Map, Name},
        protocol::{
            message::Rows,
            verdict::{Cause, Failure, Verdict},
        },
        state::{
            catalog::{LeafEntry, LeafId},
            leaves::{Permit, TargetStatus},
            versions::VersionRange,
        },
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        HeaderMap, Request, Response, StatusCode,
        body::Incoming,
        client::conn::{
            TrySendError,
            http1::{Connection, SendRequest, handshake},
        },
    },
    hyper_util::rt::TokioIo,
    std::{
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        sync::oneshot,
        time::{Instant, timeout_at},
    },
};

/// Largest reply of a leaf, bytes.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// Partitions of the pool, each with its own lock.
const POOL_PARTITIONS: usize = 16;

/// Time past its deadline for which a cancelled request keeps its slot while the target has
/// not closed the connection: the timers of the two sides don't expire at the same moment.
const CLOSE_GRACE: Duration = Duration::from_secs(1);

/// Bytes read at once while waiting for the target to close a cancelled connection.
const DRAIN_BUFFER_BYTES: usize = 4_096;

/// An open connection and the means to cancel the request on it.
struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    cancel: oneshot::Sender<CancelledSlot>,
}

/// The slot of a cancelled request, and the time at which it is released even if the target
/// has not closed the connection.
struct CancelledSlot {
    permit: Permit,
    release_at: Instant,
}

/// A request on a connection. Dropping it before the reply is complete cancels the request;
/// its slot stays taken until the target has closed the connection.
struct InFlight {
    connection: Option<PooledConnection>,
    permit: Option<Permit>,
    sent_at: Instant,
    deadline: Instant,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let (Some(connection), Some(permit)) = (self.connection.take(), self.permit.take()) {
            permit.record_cancelled(self.sent_at.elapsed());
            let slot = CancelledSlot {
                permit,
                release_at: self.deadline + CLOSE_GRACE,
            };
            // The connection's task has ended if the target closed the connection.
            let _ = connection.cancel.send(slot);
        }
    }
}

/// An attempt on a leaf.
#[derive(Clone, Debug)]
pub struct LeafRequest {
    /// Snapshot to read; 0 reads whichever one the leaf has.
    pub snapshot: u64,
    /// Request id.
    pub request: Name,
    /// Idempotency key.
    pub key: Option<Name>,
    /// Caller's body.
    pub body: Bytes,
}

/// Outcome of an attempt on a leaf.
#[derive(Debug)]
pub struct LeafOutcome {
    /// Rows, or why there are none.
    pub result: Result<Rows, Failure>,
    /// Status of the leaf, as the reply states it.
    pub status: Option<TargetStatus>,
    /// Time from the write of the request to the end of the reply.
    pub took: Duration,
    /// True when the leaf seems to have restarted: it closed a pooled connection or refused a
    /// new one.
    pub restarted: bool,
}

impl LeafOutcome {
    fn failed(failure: Failure, restarted: bool) -> Self {
        Self {
            result: Err(failure),
            status: None,
            took: Duration::ZERO,
            restarted,
        }
    }
}

/// Pool of connections to leaves.
pub struct Targets {
    partitions: Vec<Mutex<Map<LeafId, Vec<PooledConnection>>>>,
}

impl Default for Targets {
    fn default() -> Self {
        Self {
            partitions: (0..POOL_PARTITIONS).map(|_| Mutex::default()).collect(),
        }
    }
}

impl Targets {
    /// Sends a request to a leaf and reads the complete reply by `deadline`. `may_send` is
    /// called right before the write; if it fails, nothing is sent.
    ///
    /// The permit is released when the request has ended. Dropping the future cancels the
    /// request: this side closes the connection and releases the permit once the target has
    /// closed it too.
    pub async fn send(
        &self,
        leaf: &LeafEntry,
        request: &LeafRequest,
        permit: Permit,
        deadline: Instant,
        may_send: impl Fn() -> Result<(), Failure>,
    ) -> LeafOutcome {
        let (pooled, restarted) = match self.pooled_or_new(leaf, deadline).await {
            Ok(found) => found,
            Err(outcome) => return outcome,
        };
        if let Err(failure) = may_send() {
            self.return_connection(leaf.id, pooled);
            return LeafOutcome::failed(failure, restarted);
        }
        let Some(http) = http_request(leaf, request, deadline) else {
            return LeafOutcome::failed(Failure::not_run(Cause::Malformed), restarted);
        };
        let mut in_flight = InFlight {
            connection: Some(pooled),
            permit: Some(permit),
            sent_at: Instant::now(),
            deadline,
        };
        let started = Instant::now();
        let sent = timeout_at(deadline, in_flight.write(http)).await;
        let reply = match sent {
            Ok(Ok(reply)) => reply,
            Ok(Err(mut error)) => {
                // Hyper returns the request in the error when none of it was written.
                let failure = match error.take_message() {
                    Some(_) => Failure::not_run(Cause::Unreachable),
                    None => Failure::may_have_run(Cause::Crashed),
                };
                return LeafOutcome::failed(failure, true);
            }
            Err(_) => {
                return LeafOutcome::failed(Failure::may_have_run(Cause::Deadline), restarted);
            }
        };
        let mut outcome = read_reply(reply, deadline).await;
        outcome.took = started.elapsed();
        outcome.restarted |= restarted;
        let is_clean = !matches!(
            outcome.result,
            Err(failure) if failure.verdict == Verdict::MayHaveRun
        );
        if is_clean && let Some(pooled) = in_flight.finish() {
            self.return_connection(leaf.id, pooled);
        }
        outcome
    }

    /// Queries a leaf's status endpoint; `None` when it fails or does not reply by `deadline`.
    pub async fn probe(&self, leaf: &LeafEntry, deadline: Instant) -> Option<TargetStatus> {
        let (mut pooled, _) = self.pooled_or_new(leaf, deadline).await.ok()?;
        let request = Request::builder()
            .uri("/status")
            .header("host", leaf.address.to_string())
            .body(Full::default())
            .ok()?;
        let reply = timeout_at(deadline, pooled.sender.send_request(request))
            .await
            .ok()?
            .ok()?;
        let status = target_status(reply.headers());
        timeout_at(deadline, reply.into_body().collect())
            .await
            .ok()?
            .ok()?;
        self.return_connection(leaf.id, pooled);
        status
    }

    /// Closes the pooled connections of a leaf.
    pub fn forget(&self, leaf: LeafId) {
        self.partition(leaf).remove(&leaf);
    }

    fn partition(
        &self,
        leaf: LeafId,
    ) -> std::sync::MutexGuard<'_, Map<LeafId, Vec<PooledConnection>>> {
        let index = usize::try_from(leaf.0 >> 60).unwrap_or(0) % POOL_PARTITIONS;
        self.partitions[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn return_connection(&self, leaf: LeafId, pooled: PooledConnection) {
        if !pooled.sender.is_closed() {
            self.partition(leaf).entry(leaf).or_default().push(pooled);
        }
    }

    /// Returns a pooled connection or opens a new one, and whether a pooled one was found closed.
    async fn pooled_or_new(
        &self,
        leaf: &LeafEntry,
        deadline: Instant,
    ) -> Result<(PooledConnection, bool), LeafOutcome> {
        let mut found_closed = false;
        loop {
            let idle = self.partition(leaf.id).get_mut(&leaf.id).and_then(Vec::pop);
            let Some(mut pooled) = idle else { break };
            if pooled.sender.ready().await.is_ok() {
                return Ok((pooled, found_closed));
            }
            found_closed = true;
        }
        let opened = timeout_at(deadline, open_connection(leaf)).await;
        match opened {
            Ok(Ok(pooled)) => Ok((pooled, found_closed)),
            Ok(Err(_)) => {
                let failure = Failure::not_run(Cause::Unreachable);
                Err(LeafOutcome::failed(failure, true))
            }
            Err(_) => {
                let failure = Failure::not_run(Cause::Deadline);
                Err(LeafOutcome::failed(failure, found_closed))
            }
        }
    }
}

impl InFlight {
    async fn write(
        &mut self,
        http: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        match &mut self.connection {
            Some(connection) => connection.sender.try_send_request(http).await,
            None => unreachable!("a request has its connection until it is finished"),
        }
    }

    /// Releases the slot of a request that has ended and returns its connection.
    fn finish(mut self) -> Option<PooledConnection> {
        self.permit = None;
        self.connection.take()
    }
}

async fn open_connection(leaf: &LeafEntry) -> eyre::Result<PooledConnection> {
    let stream = TcpStream::connect(leaf.address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    let (cancel, cancelled) = oneshot::channel();
    tokio::spawn(drive_connection(connection, cancelled));
    Ok(PooledConnection { sender, cancel })
}

/// Drives a connection until it closes. When its request is cancelled, closes this side and
/// releases the slot once the target has closed its side or `release_at` has passed.
async fn drive_connection(
    mut connection: Connection<TokioIo<TcpStream>, Full<Bytes>>,
    cancelled: oneshot::Receiver<CancelledSlot>,
) {
    let slot = tokio::select! {
        biased;
        Ok(slot) = cancelled => slot,
        _ = &mut connection => return,
    };
    let mut stream = connection.into_parts().io.into_inner();
    let closed = async {
        stream.shutdown().await?;
        // A target that notices the cancellation ends the request and closes its side.
        let mut buffer = [0; DRAIN_BUFFER_BYTES];
        while stream.read(&mut buffer).await? > 0 {}
        Ok::<_, std::io::Error>(())
    };
    let _ = timeout_at(slot.release_at, closed).await;
    drop(slot.permit);
}

fn http_request(
    leaf: &LeafEntry,
    request: &LeafRequest,
    deadline: Instant,
) -> Option<Request<Full<Bytes>>> {
    let time_left = deadline.saturating_duration_since(Instant::now());
    let deadline_ms = unix_ms() + crate::clock::millis(time_left);
    let mut http = Request::post("/leaf")
        .header("host", leaf.address.to_string())
        .header("x-shard", leaf.shard)
        .header("x-request-id", &*request.request)
        .header("x-snapshot", request.snapshot)
        .header("x-layout", leaf.service.layout)
        .header("x-deadline-unix-ms", deadline_ms);
    if let Some(key) = &request.key {
        http = http.header("idempotency-key", &**key);
    }
    http.body(Full::new(request.body.clone())).ok()
}

async fn read_reply(reply: Response<Incoming>, deadline: Instant) -> LeafOutcome {
    let code = reply.status();
    let status = target_status(reply.headers());
    let snapshot = header_number(reply.headers(), "x-snapshot").unwrap_or(0);
    let is_not_run = header_text(reply.headers(), "x-run") == Some("not_run");
    let cause = header_text(reply.headers(), "x-cause").map(str::to_owned);
    let body = timeout_at(
        deadline,
        Limited::new(reply.into_body(), MAX_REPLY_BYTES).collect(),
    )
    .await;
    let result = match body {
        Err(_) => Err(Failure::may_have_run(Cause::Deadline)),
        Ok(Err(_)) => Err(Failure::may_have_run(Cause::Unreachable)),
        Ok(Ok(body)) if code == StatusCode::OK => Ok(Rows {
            snapshot,
            json: body.to_bytes(),
        }),
        Ok(Ok(_)) => {
            let cause = rejection_cause(code, cause.as_deref());
            Err(if is_not_run {
                Failure::not_run(cause)
            } else {
                Failure::may_have_run(cause)
            })
        }
    };
    LeafOutcome {
        result,
        status,
        took: Duration::ZERO,
        restarted: false,
    }
}

fn rejection_cause(code: StatusCode, cause: Option<&str>) -> Cause {
    match cause {
        Some("version") => Cause::Version,
        Some("layout") => Cause::Layout,
        Some("deadline") => Cause::Deadline,
        Some("malformed") => Cause::Malformed,
        _ if code.is_client_error() => Cause::Malformed,
        _ => Cause::Shed,
    }
}

fn target_status(headers: &HeaderMap) -> Option<TargetStatus> {
    Some(TargetStatus {
        incarnation: header_text(headers, "x-incarnation")?.into(),
        range: VersionRange {
            oldest: header_number(headers, "x-oldest")?,
            newest: header_number(headers, "x-newest")?,
        },
        leaving: header_text(headers, "x-state") == Some("leaving"),
    })
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    header_text(headers, name)?.parse().ok()
}
