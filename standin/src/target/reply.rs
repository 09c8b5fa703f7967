//! Handling of requests at a leaf of a stand-in target.

use {
    super::{Behaviour, Cut, Leaf, Shared, Work},
    crate::{
        history::{Event, Started, now_us},
        http::{self, Reply},
    },
    bytes::Bytes,
    http_body_util::{BodyExt, StreamBody, combinators::UnsyncBoxBody},
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode,
        body::{Frame, Incoming},
        header::HeaderValue,
    },
    std::{io::Error as IoError, sync::atomic::Ordering, time::Duration},
};

type Body = UnsyncBoxBody<Bytes, IoError>;

/// Records the end of a request when dropped, also when a cancellation drops its future.
struct WorkGuard<'a> {
    shared: &'a Shared,
    leaf: &'a Leaf,
    request: String,
    is_whole: bool,
}

impl Drop for WorkGuard<'_> {
    fn drop(&mut self) {
        self.leaf.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.shared.history.add(Event::Ended {
            target: self.shared.spec.name.clone(),
            shard: self.leaf.shard,
            request: std::mem::take(&mut self.request),
            whole: self.is_whole,
        });
    }
}

pub(super) async fn reply(
    shared: &Shared,
    leaf: &Leaf,
    request: Request<Incoming>,
) -> Result<Response<Body>, IoError> {
    if request.method() == Method::GET {
        return Ok(boxed(status(shared)));
    }
    let headers = request.headers().clone();
    let Ok(body) = http::read_body(request.into_body()).await else {
        return Ok(boxed(http::empty(StatusCode::BAD_REQUEST)));
    };
    let behaviour = shared.behaviour();
    if let Some(rejected) = rejection(&behaviour, &headers) {
        return Ok(boxed(add_state_headers(shared, &behaviour, rejected)));
    }
    let Ok(work) = serde_json::from_slice::<Work>(&body) else {
        return Ok(boxed(rejection_reply(StatusCode::BAD_REQUEST, "malformed")));
    };
    work_until_deadline(shared, leaf, &behaviour, &headers, work).await
}

/// Works on a request until its deadline plus [`Behaviour::late_ms`] at the latest, then
/// replies with status 504.
async fn work_until_deadline(
    shared: &Shared,
    leaf: &Leaf,
    behaviour: &Behaviour,
    headers: &HeaderMap,
    work: Work,
) -> Result<Response<Body>, IoError> {
    let deadline_ms = header_number(headers, "x-deadline-unix-ms");
    let work = work_on(shared, leaf, behaviour, headers, work);
    if deadline_ms == 0 {
        return work.await;
    }
    let end_ms = deadline_ms + behaviour.late_ms;
    let remaining = Duration::from_millis(end_ms.saturating_sub(now_us() / 1_000));
    match tokio::time::timeout(remaining, work).await {
        Ok(reply) => reply,
        Err(_) => Ok(boxed(http::empty(StatusCode::GATEWAY_TIMEOUT))),
    }
}

async fn work_on(
    shared: &Shared,
    leaf: &Leaf,
    behaviour: &Behaviour,
    headers: &HeaderMap,
    work: Work,
) -> Result<Response<Body>, IoError> {
    let in_flight = leaf.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
    let is_cold = leaf.served.load(Ordering::Relaxed) < behaviour.warm_after;
    shared.history.add(Event::Started(Started {
        target: shared.spec.name.clone(),
        domain: shared.spec.domain.clone(),
        service: shared.spec.service.clone(),
        shard: leaf.shard,
        request: work.request.clone(),
        key: header_text(headers, "idempotency-key"),
        in_flight,
        slots: shared.spec.slots,
        connections: leaf.connections.load(Ordering::Relaxed),
        connection_limit: shared.spec.connections,
        cold_bears: if is_cold { behaviour.cold_bears } else { 0 },
        leaving: behaviour.leaving,
    }));
    let mut guard = WorkGuard {
        shared,
        leaf,
        request: work.request.clone(),
        is_whole: false,
    };
    let is_overloaded = is_cold && in_flight > behaviour.cold_bears;
    if work.crash || is_overloaded {
        shared.crash(if work.crash { &work.request } else { "" });
        std::future::pending::<()>().await;
    }
    if behaviour.stalls {
        std::future::pending::<()>().await;
    }
    let _slot = leaf.slots.acquire().await;
    tokio::time::sleep(shared.work_time(behaviour, is_cold)).await;
    leaf.served.fetch_add(1, Ordering::Relaxed);
    if behaviour.cut == Some(Cut::BeforeReply) {
        return Err(IoError::other("cut before the reply"));
    }
    let requested = header_number(headers, "x-snapshot");
    let version = if requested == 0 || behaviour.ignores_pin {
        behaviour.newest
    } else {
        requested
    };
    let rows: Vec<_> = (0..work.rows)
        .map(|n| {
            serde_json::json!({
                "shard": leaf.shard, "echo": work.request, "version": version,
                "n": n, "of": work.rows,
            })
        })
        .collect();
    let mut reply = add_state_headers(shared, behaviour, http::json(StatusCode::OK, &rows));
    reply
        .headers_mut()
        .insert("x-snapshot", HeaderValue::from(version));
    guard.is_whole = behaviour.cut.is_none();
    Ok(if behaviour.cut == Some(Cut::MidBody) {
        truncated(reply)
    } else {
        boxed(reply)
    })
}

fn rejection(behaviour: &Behaviour, headers: &HeaderMap) -> Option<Reply> {
    let requested = header_number(headers, "x-snapshot");
    let deadline_ms = header_number(headers, "x-deadline-unix-ms");
    let has_version = requested == 0
        || (behaviour.oldest..=behaviour.newest).contains(&requested)
        || behaviour.ignores_pin;
    if deadline_ms != 0 && now_us() / 1_000 > deadline_ms {
        Some(rejection_reply(StatusCode::GATEWAY_TIMEOUT, "deadline"))
    } else if header_number(headers, "x-layout") != u64::from(behaviour.layout) {
        Some(rejection_reply(StatusCode::CONFLICT, "layout"))
    } else if !has_version {
        Some(rejection_reply(StatusCode::CONFLICT, "version"))
    } else if behaviour.sheds {
        Some(rejection_reply(StatusCode::SERVICE_UNAVAILABLE, "shed"))
    } else {
        None
    }
}

fn rejection_reply(status: StatusCode, cause: &'static str) -> Reply {
    let mut reply = http::empty(status);
    let headers = reply.headers_mut();
    headers.insert("x-run", HeaderValue::from_static("not_run"));
    headers.insert("x-cause", HeaderValue::from_static(cause));
    reply
}

fn add_state_headers(shared: &Shared, behaviour: &Behaviour, mut reply: Reply) -> Reply {
    let state = if behaviour.leaving && !behaviour.lies {
        "leaving"
    } else {
        "serving"
    };
    let headers = reply.headers_mut();
    headers.insert(
        "x-incarnation",
        HeaderValue::from(*shared.incarnation.borrow()),
    );
    headers.insert("x-oldest", HeaderValue::from(behaviour.oldest));
    headers.insert("x-newest", HeaderValue::from(behaviour.newest));
    headers.insert("x-state", HeaderValue::from_static(state));
    reply
}

fn status(shared: &Shared) -> Reply {
    let behaviour = shared.behaviour();
    add_state_headers(shared, &behaviour, http::empty(StatusCode::OK))
}

fn boxed(reply: Reply) -> Response<Body> {
    reply.map(|body| body.map_err(|never| match never {}).boxed_unsync())
}

/// Returns a reply that sends the head and half of the body, then closes the connection.
fn truncated(reply: Reply) -> Response<Body> {
    let (parts, body) = reply.into_parts();
    let frames = futures_util::stream::unfold((body, 0), |(mut body, step)| async move {
        match step {
            0 => {
                let bytes = body.frame().await?.ok()?.into_data().ok()?;
                let half = bytes.slice(..bytes.len() / 2);
                Some((Ok(Frame::data(half)), (body, 1)))
            }
            1 => {
                // Gives the first half time to be sent.
                tokio::time::sleep(Duration::from_millis(5)).await;
                Some((Err(IoError::other("cut in the body")), (body, 2)))
            }
            _ => None,
        }
    });
    let mut reply = Response::from_parts(parts, StreamBody::new(frames).boxed_unsync());
    reply.headers_mut().remove("content-length");
    reply
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name)?.to_str().ok().map(str::to_owned)
}

fn header_number(headers: &HeaderMap, name: &str) -> u64 {
    header_text(headers, name)
        .and_then(|value| value.parse().ok())
        .unwrap_or(0)
}
