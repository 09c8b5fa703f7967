//! A caller that sends requests to the query tier and records the responses.

use {
    crate::{
        history::{CallerGot, Event, History, RowSeen, now_us},
        http::Connection,
        target::Work,
    },
    bytes::Bytes,
    hyper::{Method, StatusCode},
    serde::Deserialize,
    std::{
        net::SocketAddr,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
};

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Service that the request goes to.
    pub service: String,
    /// Body that the leaves read.
    pub work: Work,
    /// Time after which the caller has no use for a response.
    pub deadline: Duration,
    /// Idempotency key, for requests that are not idempotent.
    pub key: Option<String>,
}

impl Ask {
    /// Returns an idempotent query for one row per shard.
    #[must_use]
    pub fn query(service: &str, request: &str, deadline: Duration) -> Self {
        Self {
            service: service.to_owned(),
            work: Work {
                request: request.to_owned(),
                rows: 1,
                crash: false,
            },
            deadline,
            key: None,
        }
    }

    /// Returns a request that is not idempotent, with the idempotency key `key`.
    #[must_use]
    pub fn once(service: &str, request: &str, key: &str, deadline: Duration) -> Self {
        Self {
            key: Some(key.to_owned()),
            ..Self::query(service, request, deadline)
        }
    }
}

/// A caller of one entry host, with a pool of idle connections.
pub struct Caller {
    entry: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    history: History,
}

#[derive(Deserialize)]
struct ResponseBody {
    request: String,
    snapshot: u64,
    coverage: Coverage,
    rows: Vec<RowSeen>,
}

#[derive(Deserialize)]
struct Coverage {
    answered: u32,
    total: u32,
    missing: Vec<Missing>,
}

#[derive(Deserialize)]
struct Missing {
    shard: u32,
    cause: String,
}

#[derive(Deserialize)]
struct ProblemBody {
    run: String,
    title: String,
}

/// Time past the request's deadline for which a caller still waits for a response.
const RESPONSE_GRACE: Duration = Duration::from_secs(5);

impl Caller {
    /// Returns a caller of `entry` that records in `history`.
    #[must_use]
    pub fn new(entry: SocketAddr, history: History) -> Self {
        Self {
            entry,
            idle: Mutex::default(),
            history,
        }
    }

    /// Sends one request and returns the response, or `may_have_run` with status 0 when
    /// the connection fails or no response arrives in time.
    pub async fn ask(&self, ask: &Ask) -> CallerGot {
        self.history.add(Event::CallerSent {
            request: ask.work.request.clone(),
            service: ask.service.clone(),
            key: ask.key.clone(),
        });
        let started = now_us();
        let outcome =
            tokio::time::timeout(ask.deadline + RESPONSE_GRACE, self.send_request(ask)).await;
        let mut got = match outcome {
            Ok(Ok((status, body))) => parse_response(status, &body),
            Ok(Err(error)) => no_response(format!("{error:#}")),
            Err(_) => no_response("no response in time".to_owned()),
        };
        got.request.clone_from(&ask.work.request);
        got.took_us = now_us() - started;
        self.history.add(Event::CallerGot(got.clone()));
        got
    }

    async fn send_request(&self, ask: &Ask) -> eyre::Result<(StatusCode, Bytes)> {
        let pooled = self
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop();
        let mut connection = match pooled {
            Some(connection) => connection,
            None => Connection::open(self.entry).await?,
        };
        let path = format!("/v1/services/{}/query", ask.service);
        let mut headers = vec![
            ("x-request-id", ask.work.request.clone()),
            ("x-deadline-ms", ask.deadline.as_millis().to_string()),
        ];
        if let Some(key) = &ask.key {
            headers.push(("idempotency-key", key.clone()));
        }
        let body = Bytes::from(serde_json::to_vec(&ask.work)?);
        let reply = connection.send(Method::POST, &path, &headers, body).await?;
        self.idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(connection);
        Ok(reply)
    }
}

/// Returns what a caller got whose request ended without a response, with the cause in the
/// place of the missing shards, so that a violation shows it.
fn no_response(cause: String) -> CallerGot {
    CallerGot {
        run: "may_have_run".to_owned(),
        missing: vec![(0, cause)],
        ..CallerGot::default()
    }
}

fn parse_response(status: StatusCode, body: &[u8]) -> CallerGot {
    if status == StatusCode::OK
        && let Ok(response) = serde_json::from_slice::<ResponseBody>(body)
    {
        return CallerGot {
            status: status.as_u16(),
            run: "ran".to_owned(),
            snapshot: response.snapshot,
            answered: response.coverage.answered,
            total: response.coverage.total,
            rows: response.rows,
            missing: response
                .coverage
                .missing
                .into_iter()
                .map(|missing| (missing.shard, missing.cause))
                .collect(),
            echoed: response.request,
            ..CallerGot::default()
        };
    }
    let problem = serde_json::from_slice::<ProblemBody>(body).ok();
    CallerGot {
        status: status.as_u16(),
        run: problem
            .as_ref()
            .map_or_else(|| "may_have_run".to_owned(), |problem| problem.run.clone()),
        missing: problem
            .map(|problem| vec![(0, problem.title)])
            .unwrap_or_default(),
        ..CallerGot::default()
    }
}
