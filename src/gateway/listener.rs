//! The caller's side of the sockets, and the balancer's.

use {
    super::{
        Gateway,
        answer::{self, Reply},
        serve,
    },
    crate::{state::routes::CallerLimits, transport::leaf::guard_socket},
    http_body_util::Full,
    hyper::{
        Request, StatusCode,
        body::Incoming,
        header::{CONNECTION, HeaderValue},
        server::conn::http1,
        service::Service,
    },
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
    },
    slog::warn,
    std::{convert::Infallible, future::Future, pin::Pin, sync::Arc, time::Duration},
    tokio::net::{TcpListener, TcpStream},
    tokio_util::sync::CancellationToken,
};

/// Room for the head of a request, bytes: more than any deployment allows callers.
const HEAD_ROOM: usize = 64 << 10;

/// Headers of one request at most.
const HEADERS: usize = 200;

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Pause after a failed accept, so that running out of descriptors is no busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves callers until `stop`; returns when the last of them has its answer.
pub async fn callers(listener: TcpListener, gateway: Arc<Gateway>, stop: CancellationToken) {
    accept(listener, Arc::clone(&gateway), stop, move |request| {
        let gateway = Arc::clone(&gateway);
        async move {
            let mut reply = serve::answer(&gateway, request).await;
            if gateway.is_stopping() {
                // The caller's next request belongs to another host.
                let close = HeaderValue::from_static("close");
                reply.headers_mut().insert(CONNECTION, close);
            }
            reply
        }
    })
    .await;
}

/// Tells the balancer whether new callers are welcome, until `stop`.
pub async fn readiness(listener: TcpListener, gateway: Arc<Gateway>, stop: CancellationToken) {
    accept(listener, Arc::clone(&gateway), stop, move |request| {
        let is_known = request.uri().path() == &*gateway.settings.ready_path;
        let reply = match (is_known, gateway.is_ready()) {
            (false, _) => answer::plain(StatusCode::NOT_FOUND, "not found"),
            (true, true) => answer::plain(StatusCode::OK, "ready"),
            (true, false) => answer::plain(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        };
        async move { reply }
    })
    .await;
}

/// Serves metrics until `stop`.
pub async fn metrics(listener: TcpListener, gateway: Arc<Gateway>, stop: CancellationToken) {
    accept(listener, Arc::clone(&gateway), stop, move |request| {
        let reply = match (request.uri().path(), gateway.metrics.text()) {
            (METRICS_PATH, Ok(text)) => Reply::new(Full::new(text.into())),
            (METRICS_PATH, Err(error)) => {
                warn!(gateway.log, "listener: metrics can't be written"; "error" => %error);
                answer::plain(
                    StatusCode::INTERNAL_SERVER_ERROR,
                    "metrics can't be written",
                )
            }
            _ => answer::plain(StatusCode::NOT_FOUND, "not found"),
        };
        async move { reply }
    })
    .await;
}

async fn accept<H, F>(
    listener: TcpListener,
    gateway: Arc<Gateway>,
    stop: CancellationToken,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let limits = gateway.view().routes.as_ref().map(|routes| routes.limits);
                let connection = connection(stream, limits.unwrap_or_default(), handler.clone());
                let connection = graceful.watch(connection);
                tokio::spawn(async move {
                    // A broken connection is the other side's own affair.
                    let _ = connection.await;
                });
            }
            Err(error) => {
                warn!(gateway.log, "listener: accept failed"; "error" => %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn connection<H, F>(
    stream: TcpStream,
    limits: CallerLimits,
    handler: H,
) -> http1::Connection<TokioIo<TcpStream>, Handler<H>>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    // Without these options a silent caller is noticed later, at the idle timeout.
    let _ = guard_socket(&stream);
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time)
        .max_buf_size(HEAD_ROOM)
        .max_headers(HEADERS)
        .serve_connection(TokioIo::new(stream), Handler(handler))
}

/// A function as hyper's service.
struct Handler<H>(H);

impl<H, F> Service<Request<Incoming>> for Handler<H>
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Reply> + Send + 'static,
{
    type Response = Reply;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<Reply, Infallible>> + Send>>;

    fn call(&self, request: Request<Incoming>) -> Self::Future {
        let reply = (self.0)(request);
        Box::pin(async move { Ok(reply.await) })
    }
}
