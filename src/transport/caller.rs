//! The callers' HTTP interface.
//!
//! `POST /v1/services/NAME/query` with a body that is passed on to the targets as it is.
//! Optional headers: `x-deadline-ms` (time for the whole request, milliseconds),
//! `x-request-id`, `idempotency-key`.

use {
    super::{
        body,
        http::{self, Limits, Reply},
        store::Store,
    },
    crate::{
        collections::Name,
        daemon::shared::Shared,
        entry::{Entry, Query},
        policy::caller_memory::Budget,
        protocol::{
            answer::{Answer, Refusal},
            verdict::{Cause, Verdict},
        },
    },
    bytes::Bytes,
    hyper::{
        HeaderMap, Method, Request, StatusCode,
        body::Incoming,
        header::{CONNECTION, HeaderValue},
    },
    std::{
        convert::Infallible,
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        time::{Instant, timeout},
    },
    tokio_util::sync::CancellationToken,
    tower::ServiceBuilder,
};

/// Longest request id or idempotency key, bytes.
const MAX_ID_BYTES: usize = 128;

/// Serves callers until `stop` is cancelled; returns when each request in flight has its
/// response.
pub async fn serve<S: Store>(
    listener: TcpListener,
    shared: Arc<Shared>,
    entry: Arc<Entry<S>>,
    stop: CancellationToken,
) {
    let limits = Limits {
        budget: Budget {
            bytes: shared.settings.caller_memory,
            connections: shared.settings.caller_connections,
        },
        head_timeout: Duration::from_millis(shared.settings.idle_ms),
    };
    let ready = Arc::clone(&shared);
    let service = ServiceBuilder::new()
        .map_response(move |reply| close_unless_ready(&ready, reply))
        .service_fn(move |request| {
            let (shared, entry) = (Arc::clone(&shared), Arc::clone(&entry));
            async move { Ok::<_, Infallible>(handle_query(&shared, &entry, request).await) }
        });
    http::serve(listener, limits, stop, service).await;
}

/// Closes the connection after the response when the host is stopping, so that the caller
/// sends its next request to another host.
fn close_unless_ready(shared: &Shared, mut reply: Reply) -> Reply {
    if !shared.ready.load(Ordering::Relaxed) {
        let close = HeaderValue::from_static("close");
        reply.headers_mut().insert(CONNECTION, close);
    }
    reply
}

async fn handle_query<S: Store>(
    shared: &Shared,
    entry: &Entry<S>,
    request: Request<Incoming>,
) -> Reply {
    let started = Instant::now();
    let outcome = match read_query(shared, request).await {
        Ok(query) => {
            let id = query.request.clone();
            tokio::select! {
                biased;
                answer = entry.answer(query) => answer.and_then(|answer| encode_answer(&answer)),
                () = shared.last_response_due() => {
                    Err(Refusal::new(&id, Verdict::MayHaveRun, Cause::Deadline))
                }
            }
        }
        Err(refusal) => Err(refusal),
    };
    match outcome {
        Ok((body, answered, total)) => {
            shared.metrics.answered(started.elapsed(), answered, total);
            http::reply(StatusCode::OK, "application/json", body)
        }
        Err(refusal) => {
            shared.metrics.refused(refusal.verdict);
            problem_response(&refusal)
        }
    }
}

fn encode_answer(answer: &Answer) -> Result<(Vec<u8>, u32, u32), Refusal> {
    let body = answer
        .to_json()
        .map_err(|_| Refusal::new(&answer.request, Verdict::Ran, Cause::Malformed))?;
    Ok((body, answer.coverage.answered, answer.coverage.total))
}

fn problem_response(refusal: &Refusal) -> Reply {
    let status = StatusCode::from_u16(refusal.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut reply = http::reply(status, "application/problem+json", refusal.to_json());
    if let Some(after) = refusal.retry_after {
        reply
            .headers_mut()
            .insert("retry-after", HeaderValue::from(after.as_secs()));
    }
    reply
}

async fn read_query(shared: &Shared, request: Request<Incoming>) -> Result<Query, Refusal> {
    let headers = request.headers();
    let no_id: Name = "".into();
    let id = match id_header(headers, "x-request-id") {
        Ok(Some(id)) => id,
        Ok(None) => shared.request_id(),
        Err(detail) => return Err(Refusal::bad(&no_id, detail)),
    };
    let key = id_header(headers, "idempotency-key").map_err(|detail| Refusal::bad(&id, detail))?;
    let deadline = deadline_header(headers).map_err(|detail| Refusal::bad(&id, detail))?;
    let service = service_name(&request, &id)?;
    let body = read_body(shared, request, &id).await?;
    Ok(Query {
        service,
        request: id,
        deadline,
        key,
        body,
    })
}

fn service_name(request: &Request<Incoming>, id: &Name) -> Result<Name, Refusal> {
    let path = request.uri().path();
    let service = path
        .strip_prefix("/v1/services/")
        .and_then(|rest| rest.strip_suffix("/query"));
    let Some(service) = service else {
        return Err(Refusal {
            status: 404,
            ..Refusal::bad(id, "no such path; use /v1/services/NAME/query")
        });
    };
    if request.method() != Method::POST {
        return Err(Refusal {
            status: 405,
            ..Refusal::bad(id, "use POST")
        });
    }
    Ok(service.into())
}

async fn read_body(
    shared: &Shared,
    request: Request<Incoming>,
    id: &Name,
) -> Result<Bytes, Refusal> {
    let limit = shared.settings.body_limit;
    let read_timeout = Duration::from_millis(shared.settings.read_ms);
    let hold = body::hold_of(request.extensions());
    let reading = body::read(request.into_body(), limit, hold);
    match timeout(read_timeout, reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(body::Failure::TooLong)) => Err(Refusal {
            status: 413,
            ..Refusal::bad(id, format!("body is too long; use at most {limit} bytes"))
        }),
        Ok(Err(body::Failure::CutOff)) => Err(Refusal::bad(id, "body was cut")),
        Ok(Err(body::Failure::NoRoom)) => Err(Refusal::new(id, Verdict::NotRun, Cause::Overloaded)),
        Err(_) => Err(Refusal {
            status: 408,
            ..Refusal::bad(id, "body took too long")
        }),
    }
}

fn id_header(headers: &HeaderMap, name: &str) -> Result<Option<Name>, String> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let is_valid = |text: &&str| {
        (1..=MAX_ID_BYTES).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_graphic())
    };
    value
        .to_str()
        .ok()
        .filter(is_valid)
        .map(|text| Some(text.into()))
        .ok_or_else(|| {
            format!("{name} is malformed; use 1 to {MAX_ID_BYTES} visible ASCII characters")
        })
}

fn deadline_header(headers: &HeaderMap) -> Result<Option<Duration>, String> {
    let Some(value) = headers.get("x-deadline-ms") else {
        return Ok(None);
    };
    value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .filter(|ms| *ms > 0)
        .map(|ms| Some(Duration::from_millis(ms)))
        .ok_or_else(|| "x-deadline-ms is malformed; use whole milliseconds above 0".to_owned())
}
