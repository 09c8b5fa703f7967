//! HTTP listeners for callers, for the load balancer's readiness checks and for metrics.

use {
    super::{
        Gateway,
        caller_connection::{ConnectionRecord, End, EndGuard, RecordedStream},
        response::{self, FullResponse},
        serve,
    },
    crate::{
        state::routes::CallerLimits,
        transport::{http::close_listener, leaf::enable_keepalive},
    },
    http_body_util::Full,
    hyper::{
        Request, StatusCode,
        body::Incoming,
        header::{CONNECTION, HeaderValue},
        server::conn::http1,
        service::Service,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    slog::warn,
    std::{convert::Infallible, future::Future, pin::Pin, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::{sleep_until, timeout},
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
                let mut response = serve::handle_request(&gateway, request).await;
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
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + Unpin + 'static,
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
        let mut connection = serve_connection(stream, limits.unwrap_or_default(), handler);
        let guard = EndGuard::new(Arc::clone(&record));
        let (gateway, stop) = (Arc::clone(&gateway), stop.clone());
        connections.spawn(async move {
            let end = run_connection(&mut connection, &record, &gateway, &stop).await;
            guard.finish(end);
            if end.follows_response() {
                let stream = connection.into_parts().io.into_inner();
                tokio::select! {
                    () = stream.linger() => {}
                    () = stop_ended(&gateway, &stop) => {}
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

/// Serves a connection until its peer closes it, or until `stop` is cancelled and the
/// requests that have arrived by then have their responses or the stop time has ended.
async fn run_connection<H, F>(
    connection: &mut Connection<H>,
    record: &ConnectionRecord,
    gateway: &Gateway,
    stop: &CancellationToken,
) -> End
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + Unpin + 'static,
    F: Future<Output = FullResponse> + Send + 'static,
{
    let mut connection = Pin::new(connection);
    tokio::select! {
        result = connection.as_mut() => return End::of(&result),
        () = stop.cancelled() => {}
    }
    if let Ok(result) = timeout(LAST_READ_TIME, connection.as_mut()).await {
        return End::of(&result);
    }
    let is_idle = record.is_idle();
    // Hyper would close a kept connection although a part of a head was read. The response to
    // that request ends the connection.
    if !record.is_next_begun() {
        connection.as_mut().graceful_shutdown();
    }
    tokio::select! {
        biased;
        result = connection => match End::of(&result) {
            // Requests that cross this close must not be read any more.
            End::Closed if is_idle => End::Idle,
            end => end,
        },
        () = stop_ended(gateway, stop) => End::HostEnded,
    }
}

/// Waits for the end of the stop time, once `stop` is cancelled.
async fn stop_ended(gateway: &Gateway, stop: &CancellationToken) {
    stop.cancelled().await;
    if let Some(schedule) = gateway.stop_schedule() {
        sleep_until(schedule.end.into()).await;
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
        // Hyper's time runs from the last response to the end of the next head.
        .header_read_timeout(limits.idle_timeout + limits.head_timeout)
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
