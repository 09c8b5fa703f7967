//! The HTTP/1 server and responses that the endpoints for callers and operators share.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, StatusCode, body::Incoming, header},
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::GracefulShutdown,
        service::TowerToHyperService,
    },
    serde::Serialize,
    std::{convert::Infallible, sync::Arc, time::Duration},
    tokio::{net::TcpListener, sync::Semaphore},
    tokio_util::sync::CancellationToken,
    tower::Service,
};

/// A response whose body is one buffer.
pub type Reply = Response<Full<Bytes>>;

/// Limits of one server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most open connections; further ones are closed unread.
    pub connections: usize,
    /// Timeout for reading the head of a request.
    pub head_timeout: Duration,
}

/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Delay after a failed accept, to avoid a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves requests with `service` until `stop`, then returns once the requests in flight
/// have got their responses.
pub async fn serve<S>(listener: TcpListener, limits: Limits, stop: CancellationToken, service: S)
where
    S: Service<Request<Incoming>, Response = Reply, Error = Infallible>,
    S: Clone + Send + 'static,
    S::Future: Send + 'static,
{
    let slots = Arc::new(Semaphore::new(limits.connections));
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.head_timeout)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(
                TokioIo::new(stream),
                TowerToHyperService::new(service.clone()),
            );
        let connection = graceful.watch(connection);
        tokio::spawn(async move {
            // A connection error concerns only the client.
            let _ = connection.await;
            drop(slot);
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

/// Returns a response with a body of the media type `kind`.
#[must_use]
pub fn reply(status: StatusCode, kind: &'static str, body: impl Into<Bytes>) -> Reply {
    let mut reply = Response::new(Full::new(body.into()));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    reply
}

/// Returns a response with `body` as JSON.
#[must_use]
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Reply {
    match serde_json::to_vec(body) {
        Ok(bytes) => reply(status, "application/json", bytes),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

/// Returns a response with `body` as plain text.
#[must_use]
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Reply {
    reply(status, "text/plain; charset=utf-8", body)
}
