//! HTTP listeners for callers, for the load balancer's readiness checks and for metrics.

use {
    super::{
        Gateway,
        caller_connection::{ConnectionRecord, EndGuard},
        response::{self, FullResponse},
        serve,
    },
    crate::{
        policy::caller_memory::Budget,
        state::routes::CallerLimits,
        transport::{
            connection::ServerConnection, http::close_listener, intake::Intake,
            leaf::enable_keepalive,
        },
    },
    futures_util::FutureExt,
    http_body_util::Full,
    hyper::{
        Request, StatusCode,
        body::Incoming,
        header::{CONNECTION, HeaderValue},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioTimer,
    slog::{error, warn},
    std::{
        convert::Infallible, future::Future, panic::AssertUnwindSafe, pin::pin, sync::Arc,
        time::Duration,
    },
    tokio::net::{TcpListener, TcpStream},
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Maximum size of a request head in bytes: more than any deployment allows callers.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Smallest limit of a head that is applied.
const MIN_HEAD_BYTES: usize = 16 << 10;

/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 200;

/// Room that a head's limit leaves for what follows it in the same read.
const HEAD_RESERVE_BYTES: usize = 4 << 10;

/// What the callers of the readiness checks and of the metrics may hold.
const PROBE_BUDGET: Budget = Budget {
    bytes: 1 << 20,
    connections: 64,
};

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Delay after a failed accept: without it, running out of file descriptors causes a busy
/// loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves callers until `stop` is cancelled; returns after the last response is sent.
pub async fn callers(listener: TcpListener, gateway: Arc<Gateway>, stop: CancellationToken) {
    accept_connections(
        "callers",
        listener,
        Arc::clone(&gateway),
        Intake::new(gateway.settings.caller_budget()),
        stop,
        move |request| {
            let gateway = Arc::clone(&gateway);
            async move {
                let id = serve::request_id(&gateway, &request);
                // A panic would end the connection without an answer to a request that may
                // have run.
                let handling = AssertUnwindSafe(serve::handle_request(&gateway, request));
                let mut response = handling.catch_unwind().await.unwrap_or_else(|_| {
                    error!(gateway.log, "listener: handling panicked"; "request" => &*id);
                    let message = "this host failed to handle the request";
                    response::plain_text(StatusCode::BAD_GATEWAY, message)
                });
                if gateway.is_stopping() {
                    // The caller must send its next request to another host.
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(CONNECTION, close);
                }
                response
            }
        },
    )
    .await;
}

/// Serves the load balancer's readiness checks until `stop` is cancelled: 200 while this
/// host takes new callers, otherwise 503.
pub async fn readiness(listener: TcpListener, gateway: Arc<Gateway>, stop: CancellationToken) {
    accept_connections(
        "readiness",
        listener,
        Arc::clone(&gateway),
        Intake::new(PROBE_BUDGET),
        stop,
        move |request| {
            let is_ready_path = request.uri().path() == &*gateway.settings.ready_path;
            let response = match (is_ready_path, gateway.is_ready()) {
                (false, _) => response::plain_text(StatusCode::NOT_FOUND, "not found"),
                (true, true) => response::plain_text(StatusCode::OK, "ready"),
                (true, false) => response::plain_text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
            };
            async move { response }
        },
    )
    .await;
}

/// Serves metrics until `stop` is cancelled.
pub async fn metrics(listener: TcpListener, gateway: Arc<Gateway>, stop: CancellationToken) {
    accept_connections(
        "metrics",
        listener,
        Arc::clone(&gateway),
        Intake::new(PROBE_BUDGET),
        stop,
        move |request| {
            gateway.record_learned_capacity();
            let response = match (request.uri().path(), gateway.metrics.text()) {
                (METRICS_PATH, Ok(text)) => FullResponse::new(Full::new(text.into())),
                (METRICS_PATH, Err(error)) => {
                    warn!(gateway.log, "listener: metrics encoding failed"; "error" => %error);
                    response::plain_text(
                        StatusCode::INTERNAL_SERVER_ERROR,
                        "metrics can't be written",
                    )
                }
                _ => response::plain_text(StatusCode::NOT_FOUND, "not found"),
            };
            async move { response }
        },
    )
    .await;
}

async fn accept_connections<H, F>(
    name: &'static str,
    listener: TcpListener,
    gateway: Arc<Gateway>,
    intake: Arc<Intake>,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + Unpin + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    let connections = TaskTracker::new();
    let serve = |stream: TcpStream| {
        let Some(slot) = intake.admit() else {
            gateway.metrics.refused_connections.inc();
            warn!(gateway.log, "listener: connection refused; too many are in use"; "listener" => name);
            return;
        };
        let limits = gateway.view().routes.as_ref().map(|routes| routes.limits);
        let record = Arc::new(ConnectionRecord::new(Arc::clone(&gateway), name));
        let guard = EndGuard::new(Arc::clone(&record));
        let activity = Arc::clone(&record.activity);
        let handler = handler.clone();
        let service = service_fn(move |request| {
            record.record_request(&request);
            let record = Arc::clone(&record);
            handler(request).map(move |response| {
                record.record_status(response.status());
                Ok::<_, Infallible>(response)
            })
        });
        // If the socket options can't be set, a dead peer is detected at the idle timeout.
        let _ = enable_keepalive(&stream);
        let builder = connection_builder(limits.unwrap_or_default());
        let hold = Arc::clone(&slot.hold);
        let connection =
            ServerConnection::new(stream, builder, service, activity, hold, stop.clone());
        let gateway = Arc::clone(&gateway);
        connections.spawn(async move {
            let mut cut = pin!(gateway.stop_ended());
            let (end, unsent) = connection.run(cut.as_mut()).await;
            let is_dropped = slot.hold.is_dropped();
            if is_dropped {
                gateway.metrics.dropped_connections.inc();
            }
            guard.finish(end);
            if let Some(stream) = unsent {
                tokio::select! {
                    () = stream.linger() => {}
                    () = slot.hold.dropped(), if !is_dropped => {}
                    () = cut => {}
                }
            }
            drop(slot);
        });
    };
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => serve(stream),
            Err(error) => {
                warn!(gateway.log, "listener: accept failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    close_listener(listener).into_iter().for_each(serve);
    connections.close();
    connections.wait().await;
}

fn connection_builder(limits: CallerLimits) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        // Hyper's time runs from the last response to the end of the next head.
        .header_read_timeout(limits.idle_timeout + limits.head_timeout)
        .max_buf_size(buffer_bytes(limits))
        .max_headers(MAX_HEADERS);
    builder
}

/// Returns the bytes that a connection buffers: a head of the largest legal size has to fit.
fn buffer_bytes(limits: CallerLimits) -> usize {
    let head_bytes = limits.head_bytes.saturating_add(HEAD_RESERVE_BYTES);
    head_bytes.clamp(MIN_HEAD_BYTES, MAX_HEAD_BYTES)
}
