//! HTTP server and client functions over hyper that the stand-ins share.

use {
    bytes::Bytes,
    eyre::{Result, WrapErr, eyre},
    http_body_util::{BodyExt, Full, Limited},
    hyper::{
        Method, Request, Response, StatusCode,
        body::Incoming,
        client::conn::http1::{self as client, SendRequest},
        server::conn::http1 as server,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    serde::Serialize,
    std::{convert::Infallible, future::Future, net::SocketAddr, sync::Arc, time::Duration},
    tokio::net::{TcpListener, TcpStream},
};

/// A response whose body is one buffer.
pub type Reply = Response<Full<Bytes>>;

/// Maximum size of a body that a stand-in reads, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Returns a response with `status` and `body` as JSON.
#[must_use]
pub fn json<T: Serialize>(status: StatusCode, body: &T) -> Reply {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut reply = Response::new(Full::new(Bytes::from(bytes)));
    *reply.status_mut() = status;
    reply
}

/// Returns a response with `status` and no body.
#[must_use]
pub fn empty(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::default());
    *reply.status_mut() = status;
    reply
}

/// Reads a complete body.
///
/// # Errors
///
/// Fails when the body is truncated or larger than 4 MiB.
pub async fn read_body(body: Incoming) -> Result<Bytes> {
    let collected = Limited::new(body, MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|error| eyre!("body: {error}"))?;
    Ok(collected.to_bytes())
}

/// Serves `handler` on `listener` until the task is aborted.
pub async fn serve<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let handler = Arc::new(handler);
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            Some(_) = connections.join_next() => continue,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let handler = Arc::clone(&handler);
        connections.spawn(async move {
            let service = service_fn(move |request| {
                let reply = handler(request);
                async move { Ok::<_, Infallible>(reply.await) }
            });
            let _ = server::Builder::new()
                .serve_connection(TokioIo::new(stream), service)
                .await;
        });
    }
}

/// A client connection that stays open between requests.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    host: String,
}

impl Connection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Fails when the connection is refused or the handshake fails.
    pub async fn open(address: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect(address)
            .await
            .wrap_err_with(|| format!("connect to {address}"))?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = client::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self {
            sender,
            host: address.to_string(),
        })
    }

    /// Sends one request and reads the complete reply.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks before the reply is complete.
    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Bytes,
    ) -> Result<(StatusCode, Bytes)> {
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", &self.host);
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        self.sender.ready().await?;
        let reply = self
            .sender
            .send_request(request.body(Full::new(body))?)
            .await?;
        let status = reply.status();
        Ok((status, read_body(reply.into_body()).await?))
    }
}

/// Opens a connection, sends one request, and reads its reply.
///
/// # Errors
///
/// Fails when the connection can't be opened or breaks before the reply is complete.
pub async fn once(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes)> {
    Connection::open(address)
        .await?
        .send(method, path, &[], body)
        .await
}
