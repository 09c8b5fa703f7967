//! The HTTP/1 server and responses that the endpoints for callers and operators share.

use {
    super::{connection::ServerConnection, intake::Intake},
    crate::policy::caller_memory::Budget,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, StatusCode, body::Incoming, header, server::conn::http1},
    hyper_util::{rt::TokioTimer, service::TowerToHyperService},
    serde::Serialize,
    std::{convert::Infallible, future::pending, io::ErrorKind, iter, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        time::sleep,
    },
    tokio_util::{sync::CancellationToken, task::TaskTracker},
    tower::Service,
};

/// A response whose body is one buffer.
pub type Reply = Response<Full<Bytes>>;

/// Limits of one server.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// What all connections may hold. Further ones are closed unread when none can be dropped.
    pub budget: Budget,
    /// Timeout for reading the head of a request.
    pub head_timeout: Duration,
}

/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Delay after a failed accept, to avoid a busy loop when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Most connections that are accepted as a listener closes: twice the usual backlog, since
/// more may come meanwhile.
const MAX_WAITING: usize = 2_048;

/// Serves requests with `service` until `stop`, then returns once the requests that have
/// arrived by then have got their responses.
pub async fn serve<S>(listener: TcpListener, limits: Limits, stop: CancellationToken, service: S)
where
    S: Service<Request<Incoming>, Response = Reply, Error = Infallible>,
    S: Clone + Send + Unpin + 'static,
    S::Future: Send + 'static,
{
    let intake = Intake::new(limits.budget);
    let connections = TaskTracker::new();
    let serve_connection = |stream: TcpStream| {
        let Some(slot) = intake.admit() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(limits.head_timeout)
            .max_buf_size(MAX_HEAD_BYTES);
        let service = TowerToHyperService::new(service.clone());
        let hold = Arc::clone(&slot.hold);
        let connection =
            ServerConnection::new(stream, builder, service, Arc::default(), hold, stop.clone());
        connections.spawn(async move {
            // How the connection ended concerns only the client.
            if let (_, Some(stream)) = connection.run(pending()).await {
                let is_dropped = slot.hold.is_dropped();
                tokio::select! {
                    () = stream.linger() => {}
                    () = slot.hold.dropped(), if !is_dropped => {}
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
            Ok((stream, _)) => serve_connection(stream),
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    close_listener(listener)
        .into_iter()
        .for_each(serve_connection);
    connections.close();
    connections.wait().await;
}

/// Closes a listener and returns the connections that waited to be accepted, which the close
/// would reset.
#[must_use]
pub fn close_listener(listener: TcpListener) -> Vec<TcpStream> {
    // The runtime knows only of the connections that its last poll has shown.
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let waiting = iter::from_fn(|| {
        loop {
            match listener.accept() {
                // Its caller has left; there may be others.
                Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
                accepted => return accepted.ok(),
            }
        }
    });
    let streams = waiting.take(MAX_WAITING).filter_map(|(stream, _)| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    });
    streams.collect()
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
