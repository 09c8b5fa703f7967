//! The operators' HTTP interface: status, declaration, history of changes, metrics, and the
//! liveness and readiness endpoints.

use {
    super::{
        body,
        http::{self, Limits, Reply},
        store::Store,
    },
    crate::{
        coordination::rollout::Submission,
        coordinator::{Coordinator, submit::Submitted},
        daemon::shared::Shared,
        declaration::DOCUMENT_LIMIT,
        policy::caller_memory::Budget,
    },
    hyper::{Method, Request, StatusCode, body::Incoming},
    serde::{Deserialize, Serialize},
    std::{
        convert::Infallible,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{net::TcpListener, time::timeout},
    tokio_util::sync::CancellationToken,
    tower::service_fn,
};

/// What all operators may hold.
const BUDGET: Budget = Budget {
    bytes: 16 << 20,
    connections: 64,
};

/// Timeout for receiving the header, and for receiving the body, of a request.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest submission, bytes: a document with its JSON escapes and the description of the
/// change.
const MAX_SUBMISSION_BYTES: usize = 2 * DOCUMENT_LIMIT;

/// The declaration in force with its revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InForce {
    /// Configuration revision.
    pub revision: u64,
    /// The declaration as YAML.
    pub document: String,
}

/// The revision of an accepted submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Configuration revision.
    pub revision: u64,
}

/// Why an operator's request failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorError {
    /// What went wrong.
    pub error: String,
    /// Whether it may have taken effect: `not_run` or `may_have_run`.
    pub run: String,
}

/// Serves operators until `stop` is cancelled.
pub async fn serve<S: Store>(
    listener: TcpListener,
    shared: Arc<Shared>,
    coordinator: Arc<Coordinator<S>>,
    stop: CancellationToken,
) {
    let limits = Limits {
        budget: BUDGET,
        head_timeout: READ_TIMEOUT,
    };
    let service = service_fn(move |request| {
        let (shared, coordinator) = (Arc::clone(&shared), Arc::clone(&coordinator));
        async move { Ok::<_, Infallible>(handle_request(&shared, &coordinator, request).await) }
    });
    http::serve(listener, limits, stop, service).await;
}

async fn handle_request<S: Store>(
    shared: &Shared,
    coordinator: &Coordinator<S>,
    request: Request<Incoming>,
) -> Reply {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, "/live") => http::text(StatusCode::OK, "live\n"),
        (&Method::GET, "/ready") => readiness(shared),
        (&Method::GET, "/metrics") => match shared.metrics.text() {
            Ok(text) => http::text(StatusCode::OK, text),
            Err(error) => error_reply(StatusCode::INTERNAL_SERVER_ERROR, &error, "not_run"),
        },
        (&Method::GET, "/v1/status") => http::json(StatusCode::OK, &coordinator.status()),
        (&Method::GET, "/v1/declaration") => {
            let record = coordinator.record();
            let in_force = InForce {
                revision: record.revision,
                document: record.document,
            };
            http::json(StatusCode::OK, &in_force)
        }
        (&Method::POST, "/v1/declaration") => submit(coordinator, request).await,
        (&Method::GET, "/v1/history") => {
            let all = request.uri().query() == Some("all");
            match coordinator.history(all).await {
                Ok(changes) => http::json(StatusCode::OK, &changes),
                Err(error) => error_reply(StatusCode::SERVICE_UNAVAILABLE, &error, "not_run"),
            }
        }
        (&Method::POST, path) if path.starts_with("/v1/evict/") => {
            evict(coordinator, &path["/v1/evict/".len()..]).await
        }
        _ => error_reply(StatusCode::NOT_FOUND, &"no such path", "not_run"),
    }
}

/// Returns status 200 when the host can serve callers: it has a configuration and is not
/// stopping.
fn readiness(shared: &Shared) -> Reply {
    let has_configuration = shared.view().catalog.revision > 0;
    if has_configuration && shared.ready.load(Ordering::Relaxed) {
        http::text(StatusCode::OK, "ready\n")
    } else {
        http::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    }
}

async fn submit<S: Store>(coordinator: &Coordinator<S>, request: Request<Incoming>) -> Reply {
    let hold = body::hold_of(request.extensions());
    let reading = body::read(request.into_body(), MAX_SUBMISSION_BYTES, hold);
    let Ok(Ok(body)) = timeout(READ_TIMEOUT, reading).await else {
        let error = format!("submission was cut or is longer than {MAX_SUBMISSION_BYTES} bytes");
        return error_reply(StatusCode::BAD_REQUEST, &error, "not_run");
    };
    let submission: Submission = match serde_json::from_slice(&body) {
        Ok(submission) => submission,
        Err(error) => return error_reply(StatusCode::BAD_REQUEST, &error, "not_run"),
    };
    match coordinator.submit(&submission).await {
        Submitted::Accepted(revision) => http::json(StatusCode::OK, &Accepted { revision }),
        Submitted::Conflict(conflict) => error_reply(StatusCode::CONFLICT, &conflict, "not_run"),
        Submitted::Invalid(problems) => {
            error_reply(StatusCode::UNPROCESSABLE_ENTITY, &problems, "not_run")
        }
        Submitted::Unavailable(error) => {
            error_reply(StatusCode::SERVICE_UNAVAILABLE, &error, "not_run")
        }
        Submitted::Unknown => {
            let error = "the store's answers were lost; submit again under the same id";
            error_reply(StatusCode::GATEWAY_TIMEOUT, &error, "may_have_run")
        }
    }
}

async fn evict<S: Store>(coordinator: &Coordinator<S>, id: &str) -> Reply {
    match coordinator.evict(id).await {
        Ok(true) => http::text(StatusCode::OK, "evicted\n"),
        Ok(false) => error_reply(
            StatusCode::NOT_FOUND,
            &format!("{id} is not a member"),
            "not_run",
        ),
        Err(error) => error_reply(StatusCode::SERVICE_UNAVAILABLE, &error, "may_have_run"),
    }
}

fn error_reply(status: StatusCode, error: &impl std::fmt::Display, run: &str) -> Reply {
    let body = OperatorError {
        error: error.to_string(),
        run: run.to_owned(),
    };
    http::json(status, &body)
}
