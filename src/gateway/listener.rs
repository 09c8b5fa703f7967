//! HTTP listeners for callers, for the load balancer's readiness checks and for metrics.

use {
    super::{
        Gateway,
        caller_connection::{ConnectionRecord, EndGuard},
        response::{self, FullResponse},
        serve,
    },
    crate::{
        state::routes::CallerLimits,
        transport::{connection::ServerConnection, http::close_listener, leaf::enable_keepalive},
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

/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 200;

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
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + Unpin + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    let connections = TaskTracker::new();
    let serve = |stream: TcpStream| {
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
        let connection = ServerConnection::new(stream, builder, service, activity, stop.clone());
        let gateway = Arc::clone(&gateway);
        connections.spawn(async move {
            let mut cut = pin!(gateway.stop_ended());
            let (end, unsent) = connection.run(cut.as_mut()).await;
            guard.finish(end);
            if let Some(stream) = unsent {
                tokio::select! {
                    () = stream.linger() => {}
                    () = cut => {}
                }
            }
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
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS);
    builder
}
