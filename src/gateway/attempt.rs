//! One attempt: sends a request to one leaf and reads the reply.

use {
    super::{
        Gateway,
        rollouts::CountedAttempt,
        service_reach::FreshAttempt,
        view::{InFlight, LeafHandle},
    },
    crate::{
        collections::Name,
        protocol::{
            dialect::Dialect,
            fingerprint::Fingerprint,
            verdict::{Cause, Failure, Verdict},
        },
        state::{
            organisations::Caller, relative_latency::BaselineLatency, routes::Repeats,
            service_contact::FreshOutcome,
        },
        transport::leaf::{Connection, LeafReply, Slot, UsedConnections},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        HeaderMap, Method, Request, StatusCode, Uri,
        header::{AUTHORIZATION, HOST, HeaderValue},
        http::uri::PathAndQuery,
    },
    slog::{Logger, info},
    std::{
        io,
        sync::{
            Arc, OnceLock,
            atomic::{AtomicBool, Ordering},
        },
        time::Instant,
    },
    tokio::time::timeout_at,
};

/// Highest status code of HTTP. The codes above it that have three digits come through the parser;
/// a leaf that sends one is at fault.
const MAX_STATUS: u16 = 599;

/// A request as it is sent to leaves.
#[derive(Debug)]
pub struct OutgoingRequest {
    /// Id of the caller's attempt, for logs.
    pub id: Name,
    /// Method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub uri: Uri,
    /// Headers that leaves receive.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Time at which the caller's or the route's timeout ends, whichever is earlier.
    pub deadline: Instant,
    /// Who sent it.
    pub caller: Caller,
    /// What this host has sent of it and received.
    pub progress: RequestProgress,
}

/// What a host has sent of a request, and received.
#[derive(Debug, Default)]
pub struct RequestProgress {
    /// Connections on which it was sent.
    used_connections: UsedConnections,
    /// Whether a leaf has replied to it.
    has_reply: AtomicBool,
    /// Whether it was sent on a connection that had carried a reply before.
    has_used_pool: AtomicBool,
    fingerprint: OnceLock<Fingerprint>,
}

impl OutgoingRequest {
    /// Returns the fingerprint, by which other attempts of the caller are recognised.
    #[must_use]
    pub fn fingerprint(&self) -> Fingerprint {
        *self.progress.fingerprint.get_or_init(|| {
            let header = |name| {
                self.headers
                    .get(name)
                    .map_or(&[][..], HeaderValue::as_bytes)
            };
            let path = self.uri.path_and_query().map_or("", PathAndQuery::as_str);
            let mut parts = vec![
                self.method.as_str().as_bytes(),
                header(HOST),
                header(AUTHORIZATION),
                path.as_bytes(),
                &self.body,
            ];
            // The key is not there any more.
            let organisation = self.caller.organisation();
            parts.extend(organisation.map(|organisation| organisation.name.as_bytes()));
            Fingerprint::of_parts(&parts)
        })
    }

    /// Records that a leaf has replied.
    pub fn record_reply(&self) {
        self.progress.has_reply.store(true, Ordering::Relaxed);
    }

    /// Returns whether it was sent on a connection that had carried a reply before.
    #[must_use]
    pub fn has_used_pool(&self) -> bool {
        self.progress.has_used_pool.load(Ordering::Relaxed)
    }

    /// Returns whether a leaf has replied.
    #[must_use]
    pub fn has_reply(&self) -> bool {
        self.progress.has_reply.load(Ordering::Relaxed)
    }
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A complete reply with the leaf's digest; the request ran.
    Replied(Box<LeafReply>),
    /// No reply that can be forwarded.
    Failed(FailedAttempt),
}

impl Outcome {
    /// Returns whether the leaf has sent a whole reply, of whatever kind.
    #[must_use]
    pub fn has_reply(&self) -> bool {
        match self {
            Self::Replied(_) => true,
            Self::Failed(failed) => failed.failure.cause == Cause::Shed,
        }
    }

    /// Returns whether the leaf broke the connection while it had the request.
    #[must_use]
    pub fn is_broken(&self) -> bool {
        match self {
            Self::Replied(_) => false,
            Self::Failed(failed) => failed.failure == Failure::may_have_run(Cause::Crashed),
        }
    }
}

/// An attempt without a reply that can be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the request may have run, and why there is no reply.
    pub failure: Failure,
    /// Whether the request reached the leaf, or may have reached it.
    pub arrived: bool,
}

/// An attempt that has not started.
pub struct Attempt {
    /// Log.
    pub log: Logger,
    /// Leaf that receives the request.
    pub leaf: Arc<LeafHandle>,
    /// Request to send.
    pub outgoing: Arc<OutgoingRequest>,
    /// Time at which the attempt ends without a reply.
    pub deadline: Instant,
    /// Baseline latency of a reply.
    pub baseline: Arc<BaselineLatency>,
    /// Maximum number of connections from this host to the leaf.
    pub connections: usize,
    /// Whether the request may run more than once.
    pub repeats: Repeats,
    /// The attempt as it is counted for a rollout.
    pub counted: Option<CountedAttempt>,
}

impl Attempt {
    /// Sends the request until its deadline and returns the result.
    pub async fn run(mut self, gateway: &Gateway) -> Outcome {
        let dialect = &gateway.dialect;
        let mut waiting = gateway.leaf_reach.start_attempt(self.leaf.leaf.address);
        let in_flight = self.leaf.start_attempt(self.baseline.get(), Instant::now());
        let deadline = self.deadline.into();
        let exchange = self.exchange(gateway, &in_flight);
        let unanswered = |cause| {
            Outcome::Failed(FailedAttempt {
                failure: Failure::may_have_run(cause),
                arrived: true,
            })
        };
        let outcome = tokio::select! {
            outcome = timeout_at(deadline, exchange) => {
                outcome.unwrap_or_else(|_| unanswered(Cause::Deadline))
            }
            // The caller can repeat the request now; one that runs once may still get its reply.
            () = gateway.leaf_reach.cut_off(), if self.repeats == Repeats::Safe => {
                unanswered(Cause::Unreachable)
            }
        };
        if outcome.has_reply() {
            waiting.record_reply();
        }
        self.record_outcome(dialect, &in_flight, &outcome);
        if let Some(counted) = &mut self.counted {
            counted.record_outcome(&outcome);
        }
        outcome
    }

    async fn exchange(&self, gateway: &Gateway, in_flight: &InFlight) -> Outcome {
        let dialect = &gateway.dialect;
        loop {
            let (connection, permit, mut fresh) = match self.connect(gateway).await {
                Ok(connected) => connected,
                Err(cause) => {
                    return Outcome::Failed(FailedAttempt {
                        failure: Failure::not_run(cause),
                        arrived: false,
                    });
                }
            };
            let Some(request) = self.build_request(dialect) else {
                return Outcome::Failed(FailedAttempt {
                    failure: Failure::not_run(Cause::Malformed),
                    arrived: false,
                });
            };
            let exchanged = connection
                .exchange(request, dialect, &gateway.reply_buffers)
                .await;
            if let Some(fresh) = &mut fresh {
                fresh.record_outcome(match exchanged {
                    Ok(_) => FreshOutcome::Replied,
                    Err(_) => FreshOutcome::Refused,
                });
            }
            match exchanged {
                Ok((reply, reusable)) => {
                    gateway.record_leaf_sign();
                    permit.return_connection(reusable);
                    if reply.status == StatusCode::MISDIRECTED_REQUEST {
                        self.record_replaced();
                    } else {
                        self.record_rate_limit(dialect.rate_limit(&reply.headers), in_flight);
                    }
                    return classify_reply(dialect, reply);
                }
                // The leaf closed the idle pooled connection before anything was sent:
                // uses another one.
                Err(no_reply) if no_reply.was_idle => {}
                Err(no_reply) => {
                    return Outcome::Failed(FailedAttempt {
                        failure: no_reply.failure,
                        arrived: no_reply.failure.verdict != Verdict::NotRun,
                    });
                }
            }
        }
    }

    fn record_replaced(&self) {
        if self.leaf.record_replaced() {
            info!(self.log, "attempt: another leaf has the address"; "request" => &*self.outgoing.id,
                "leaf" => &*self.leaf.leaf.id, "address" => %self.leaf.leaf.address);
        }
    }

    fn record_rate_limit(&self, rate: Option<f64>, in_flight: &InFlight) {
        if self.leaf.record_rate_limit(rate, in_flight.sent_at()) {
            info!(self.log, "attempt: leaf states another rate limit"; "request" => &*self.outgoing.id,
                "leaf" => &*self.leaf.leaf.id, "per_s" => rate);
        }
    }

    fn log_capacity_change(&self, now: Instant) {
        if let Some(change) = self.leaf.take_capacity_change(now) {
            info!(self.log, "attempt: leaf takes another number of requests well";
                "leaf" => &*self.leaf.leaf.id, "service" => &*self.leaf.leaf.service,
                "slots" => self.leaf.leaf.slots, "before" => change.before, "now" => change.now);
        }
    }

    /// Returns a connection, with what is kept until the reply if it is a new one.
    async fn connect<'a>(
        &'a self,
        gateway: &'a Gateway,
    ) -> Result<(Connection, ConnectionPermit<'a>, Option<FreshAttempt<'a>>), Cause> {
        let used = &self.outgoing.progress.used_connections;
        let pool = &self.leaf.pool;
        let (connection, permit, fresh) = match pool.acquire(self.connections, used, Instant::now())
        {
            Slot::Idle(connection) => {
                let progress = &self.outgoing.progress;
                progress.has_used_pool.store(true, Ordering::Relaxed);
                (*connection, ConnectionPermit::new(&self.leaf), None)
            }
            Slot::New => {
                let permit = ConnectionPermit::new(&self.leaf);
                let fresh = gateway.start_fresh(&self.leaf, self.repeats);
                let mut fresh = fresh.ok_or(Cause::Unreachable)?;
                let connection =
                    Connection::open(self.leaf.leaf.address, &gateway.reply_buffers).await;
                let connection = connection.map_err(|error| {
                    if error.kind() != io::ErrorKind::TimedOut {
                        fresh.record_outcome(FreshOutcome::Refused);
                    }
                    Cause::Unreachable
                })?;
                gateway.record_leaf_sign();
                (connection, permit, Some(fresh))
            }
            Slot::Full => return Err(Cause::Overloaded),
        };
        used.record(&connection);
        Ok((connection, permit, fresh))
    }

    /// Builds the request for this leaf. Returns `None` when the leaf's id is no valid
    /// header value: without that header, another leaf at the same address could not detect
    /// that the request is not for it.
    fn build_request(&self, dialect: &Dialect) -> Option<Request<Full<Bytes>>> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let remaining = u64::try_from(remaining.as_millis())
            .unwrap_or(u64::MAX)
            .max(1);
        let mut request = Request::new(Full::new(self.outgoing.body.clone()));
        *request.method_mut() = self.outgoing.method.clone();
        *request.uri_mut() = self.outgoing.uri.clone();
        let headers = request.headers_mut();
        *headers = self.outgoing.headers.clone();
        headers.insert(dialect.deadline.clone(), HeaderValue::from(remaining));
        let id = self.leaf.id_value.clone()?;
        headers.insert(dialect.expected_leaf.clone(), id);
        Some(request)
    }

    fn record_outcome(&self, dialect: &Dialect, in_flight: &InFlight, outcome: &Outcome) {
        let now = Instant::now();
        match outcome {
            Outcome::Replied(_) => in_flight.record_contact(),
            Outcome::Failed(failed) => match failed.failure.cause {
                Cause::Deadline => in_flight.record_silence(now),
                Cause::Unreachable if failed.arrived => in_flight.record_silence(now),
                Cause::Overloaded | Cause::Unreachable => {}
                _ => in_flight.record_contact(),
            },
        }
        match outcome {
            Outcome::Replied(reply) if reply.status.is_server_error() => {
                in_flight.record_failure(now);
            }
            Outcome::Replied(reply) => {
                in_flight.record_reply(self.baseline.get(), dialect.load(&reply.headers), now);
                self.log_capacity_change(now);
            }
            Outcome::Failed(failed) => match failed.failure.cause {
                Cause::Shed => in_flight.record_rejection(now),
                Cause::Overloaded => {}
                _ => in_flight.record_failure(now),
            },
        }
    }
}

/// Permit for one connection to a leaf; returned to the leaf's pool when dropped.
struct ConnectionPermit<'a> {
    leaf: Option<&'a LeafHandle>,
}

impl<'a> ConnectionPermit<'a> {
    fn new(leaf: &'a LeafHandle) -> Self {
        Self { leaf: Some(leaf) }
    }

    fn return_connection(mut self, connection: Option<Connection>) {
        if let Some(leaf) = self.leaf.take() {
            leaf.pool.release(connection);
        }
    }
}

impl Drop for ConnectionPermit<'_> {
    fn drop(&mut self) {
        if let Some(leaf) = self.leaf {
            leaf.pool.release(None);
        }
    }
}

fn classify_reply(dialect: &Dialect, reply: LeafReply) -> Outcome {
    let failure = match dialect.verdict(reply.status, &reply.headers) {
        Verdict::NotRun => Failure::not_run(Cause::Shed),
        _ if reply.status.as_u16() > MAX_STATUS => Failure::may_have_run(Cause::Malformed),
        _ if dialect.digest(&reply.headers).is_none() => Failure::may_have_run(Cause::Malformed),
        _ => return Outcome::Replied(Box::new(reply)),
    };
    Outcome::Failed(FailedAttempt {
        failure,
        arrived: true,
    })
}
