//! One send of a request to one leaf.

use {
    super::view::{LeafHandle, Ticket},
    crate::{
        collections::Name,
        protocol::{
            dialect::Dialect,
            verdict::{Cause, Failure, Verdict},
        },
        state::pace::Usual,
        transport::leaf::{Connection, LeafReply, Reading, Slot},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::{HeaderMap, Method, Request, StatusCode, Uri, header::HeaderValue},
    slog::{Logger, info},
    std::{sync::Arc, time::Instant},
    tokio::time::timeout_at,
};

/// A request as it is passed on to leaves.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Id of the caller's attempt, for logs.
    pub id: Name,
    /// Method.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub uri: Uri,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body, whole.
    pub body: Bytes,
    /// When the caller, or the route, stops waiting.
    pub deadline: Instant,
}

/// How a send ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A whole reply with the leaf's digest; the request ran.
    Replied(Box<LeafReply>),
    /// No reply that can be passed on.
    Failed(Failed),
}

/// A send without a reply that can be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failed {
    /// Whether the request may have run, and why it got no reply.
    pub failure: Failure,
    /// Whether the request reached the leaf, or may have.
    pub arrived: bool,
}

/// A send that is about to be made.
pub struct Call {
    /// Log.
    pub log: Logger,
    /// The leaf.
    pub leaf: Arc<LeafHandle>,
    /// The request.
    pub outgoing: Arc<Outgoing>,
    /// Usual time of a reply.
    pub usual: Arc<Usual>,
    /// Connections that this host may have to the leaf.
    pub connections: usize,
}

impl Call {
    /// Sends the request and returns how that ended.
    pub async fn run(self, dialect: &Dialect, reading: &Reading) -> Outcome {
        let ticket = self.leaf.begin(self.usual.get(), Instant::now());
        let deadline = self.outgoing.deadline.into();
        let outcome = match timeout_at(deadline, self.exchange(dialect, reading)).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::Failed(Failed {
                failure: Failure::may_have_run(Cause::Deadline),
                arrived: true,
            }),
        };
        self.note(dialect, &ticket, &outcome);
        outcome
    }

    async fn exchange(&self, dialect: &Dialect, reading: &Reading) -> Outcome {
        loop {
            let (connection, place) = match self.connect().await {
                Ok(connected) => connected,
                Err(cause) => {
                    return Outcome::Failed(Failed {
                        failure: Failure::not_run(cause),
                        arrived: false,
                    });
                }
            };
            let Some(request) = self.request(dialect) else {
                return Outcome::Failed(Failed {
                    failure: Failure::not_run(Cause::Malformed),
                    arrived: false,
                });
            };
            match connection.exchange(request, dialect, reading).await {
                Ok((reply, kept)) => {
                    place.give_back(kept);
                    if reply.status == StatusCode::MISDIRECTED_REQUEST && self.leaf.note_gone() {
                        info!(self.log, "call: another leaf has the address"; "request" => &*self.outgoing.id,
                            "leaf" => &*self.leaf.leaf.id, "address" => %self.leaf.leaf.address);
                    }
                    return classify(dialect, reply);
                }
                // The leaf closed a kept connection at rest: nothing was sent.
                Err(no_reply) if no_reply.is_stale => {}
                Err(no_reply) => {
                    return Outcome::Failed(Failed {
                        failure: no_reply.failure,
                        arrived: no_reply.failure.verdict != Verdict::NotRun,
                    });
                }
            }
        }
    }

    async fn connect(&self) -> Result<(Connection, Place<'_>), Cause> {
        match self.leaf.pool.take(self.connections, Instant::now()) {
            Slot::Kept(connection) => Ok((*connection, Place::of(&self.leaf))),
            Slot::Room => {
                let place = Place::of(&self.leaf);
                let connection = Connection::open(self.leaf.leaf.address).await;
                let connection = connection.map_err(|_| Cause::Unreachable)?;
                Ok((connection, place))
            }
            Slot::Full => Err(Cause::Overloaded),
        }
    }

    /// Returns the request as this leaf gets it; `None` when the leaf's id can't be a
    /// header, so that another leaf at its address could not tell.
    fn request(&self, dialect: &Dialect) -> Option<Request<Full<Bytes>>> {
        let left = self
            .outgoing
            .deadline
            .saturating_duration_since(Instant::now());
        let left = u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1);
        let mut request = Request::new(Full::new(self.outgoing.body.clone()));
        *request.method_mut() = self.outgoing.method.clone();
        *request.uri_mut() = self.outgoing.uri.clone();
        let headers = request.headers_mut();
        *headers = self.outgoing.headers.clone();
        headers.insert(dialect.deadline.clone(), HeaderValue::from(left));
        let id = self.leaf.id_value.clone()?;
        headers.insert(dialect.expected_leaf.clone(), id);
        Some(request)
    }

    fn note(&self, dialect: &Dialect, ticket: &Ticket, outcome: &Outcome) {
        let now = Instant::now();
        match outcome {
            Outcome::Replied(reply) if reply.status.is_server_error() => ticket.failed(now),
            Outcome::Replied(reply) => {
                ticket.replied(self.usual.get(), dialect.load(&reply.headers), now);
            }
            Outcome::Failed(failed) => match failed.failure.cause {
                Cause::Shed => ticket.refused(now),
                Cause::Overloaded => {}
                _ => ticket.failed(now),
            },
        }
    }
}

/// A place among the connections to a leaf; given back when dropped.
struct Place<'a> {
    leaf: Option<&'a LeafHandle>,
}

impl<'a> Place<'a> {
    fn of(leaf: &'a LeafHandle) -> Self {
        Self { leaf: Some(leaf) }
    }

    fn give_back(mut self, connection: Option<Connection>) {
        if let Some(leaf) = self.leaf.take() {
            leaf.pool.put(connection);
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if let Some(leaf) = self.leaf {
            leaf.pool.put(None);
        }
    }
}

fn classify(dialect: &Dialect, reply: LeafReply) -> Outcome {
    let failure = match dialect.verdict(reply.status, &reply.headers) {
        Verdict::NotRun => Failure::not_run(Cause::Shed),
        _ if dialect.digest(&reply.headers).is_none() => Failure::may_have_run(Cause::Malformed),
        _ => return Outcome::Replied(Box::new(reply)),
    };
    Outcome::Failed(Failed {
        failure,
        arrived: true,
    })
}
