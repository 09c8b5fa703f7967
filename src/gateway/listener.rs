//! HTTP listeners for callers, for the load balancer's readiness checks and for metrics.

use {
    super::{
        Gateway,
        caller_connection::{ConnectionRecord, End, EndGuard, RecordedStream},
        response::{self, FullResponse},
        serve,
    },
    crate::{state::routes::CallerLimits, transport::leaf::enable_keepalive},
    futures_util::FutureExt,
    http_body_util::Full,
    hyper::{
        Request, StatusCode,
        body::Incoming,
        header::{CONNECTION, HeaderValue},
        server::conn::http1,
        service::Service,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    slog::{error, warn},
    std::{
        convert::Infallible,
        future::Future,
        io::ErrorKind,
        panic::AssertUnwindSafe,
        pin::{Pin, pin},
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        time::{Instant, timeout, timeout_at},
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
};

/// Maximum size of a request head in bytes: more than any deployment allows callers.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of headers in a request.
const MAX_HEADERS: usize = 200;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Time for which a connection is still read before it is closed as idle: a request that has
/// already arrived must be served.
const LAST_READ_TIME: Duration = Duration::from_millis(5);

/// Delay after a failed accept: without it, running out of file descriptors causes a busy
/// loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// HTTP connection of a caller.
type Connection<H> = http1::Connection<TokioIo<RecordedStream>, Handler<H>>;

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
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    let connections = TaskTracker::new();
    let serve = |stream: TcpStream| {
        let limits = gateway.view().routes.as_ref().map(|routes| routes.limits);
        let record = Arc::new(ConnectionRecord::new(Arc::clone(&gateway), name));
        let handler = Handler {
            handler: handler.clone(),
            record: Arc::clone(&record),
        };
        let connection = serve_connection(stream, limits.unwrap_or_default(), handler);
        let guard = EndGuard::new(record);
        let (gateway, stop) = (Arc::clone(&gateway), stop.clone());
        connections.spawn(async move {
            guard.finish(run_connection(connection, &gateway, &stop).await);
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
    for stream in accept_waiting(listener) {
        serve(stream);
    }
    connections.close();
    connections.wait().await;
}

/// Stops listening and returns the connections that waited to be accepted: dropping the
/// listener would reset them.
fn accept_waiting(listener: TcpListener) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    // Tokio's listener accepts at most 128 connections in one poll of a task.
    let Ok(listener) = listener.into_std() else {
        return streams;
    };
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                let is_ready = stream.set_nonblocking(true).is_ok();
                streams.extend(is_ready.then(|| TcpStream::from_std(stream).ok()).flatten());
            }
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
            // Mostly, none is left.
            Err(_) => return streams,
        }
    }
}

/// Serves a connection until its peer closes it, or until `stop` is cancelled and the
/// requests that have arrived by then have their responses or the stop time has ended.
async fn run_connection<H, F>(
    connection: Connection<H>,
    gateway: &Gateway,
    stop: &CancellationToken,
) -> End
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    let mut connection = pin!(connection);
    tokio::select! {
        result = connection.as_mut() => return End::of(&result),
        () = stop.cancelled() => {}
    }
    if let Ok(result) = timeout(LAST_READ_TIME, connection.as_mut()).await {
        return End::of(&result);
    }
    connection.as_mut().graceful_shutdown();
    let end = gateway.stop_schedule().map(|schedule| schedule.end.into());
    match timeout_at(end.unwrap_or_else(Instant::now), connection).await {
        Ok(result) => End::of(&result),
        Err(_) => End::HostEnded,
    }
}

fn serve_connection<H, F>(
    stream: TcpStream,
    limits: CallerLimits,
    handler: Handler<H>,
) -> Connection<H>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    // If the socket options can't be set, a dead peer is detected at the idle timeout.
    let _ = enable_keepalive(&stream);
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(
            TokioIo::new(RecordedStream::new(stream, Arc::clone(&handler.record))),
            handler,
        )
}

/// Adapts a function to hyper's `Service`, for one connection.
struct Handler<H> {
    handler: H,
    record: Arc<ConnectionRecord>,
}

impl<H, F> Service<Request<Incoming>> for Handler<H>
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = FullResponse> + Send + 'static,
{
    type Response = FullResponse;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<FullResponse, Infallible>> + Send>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        self.record.record_request(&request);
        let record = Arc::clone(&self.record);
        let response = (self.handler)(request);
        Box::pin(async move {
            let response = response.await;
            record.record_response(response.status());
            Ok(response)
        })
    }
}
