//! Client of the platform's key-value service, where daemons store the configuration, the
//! member list and the claims on idempotency keys.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited},
    hyper::{Method, Request, StatusCode, body::Incoming, client::conn::http1::SendRequest},
    hyper_util::rt::TokioIo,
    serde::Deserialize,
    std::{
        future::Future,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{net::TcpStream, time::timeout},
};

/// Timeout of a call to the store, beyond the time for which the store itself may wait.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest reply, bytes: a value with its JSON escapes.
const MAX_REPLY_BYTES: usize = 8 << 20;

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Versioned {
    /// Number of writes to the key.
    pub version: u64,
    /// The value.
    pub value: String,
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The call had no effect: the store could not be reached or rejected it.
    Unavailable,
    /// A write may have taken effect, since its reply was lost.
    Unknown,
    /// The key has another version than the write expects.
    Conflict,
    /// The value is too large.
    TooLarge,
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Unavailable => "the store can't be reached",
            Self::Unknown => "the store's answer was lost",
            Self::Conflict => "the key was written by somebody else",
            Self::TooLarge => "the value is too large for the store",
        })
    }
}

impl std::error::Error for StoreError {}

/// A key-value service with compare-and-swap and watches.
pub trait Store: Send + Sync + 'static {
    /// Reads a key; `None` when it does not exist.
    fn read(&self, key: &str)
    -> impl Future<Output = Result<Option<Versioned>, StoreError>> + Send;

    /// Writes a key if its version is `version` (0: it does not exist) and returns its new
    /// version.
    fn write(
        &self,
        key: &str,
        version: u64,
        value: String,
    ) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Waits until the key's version exceeds `after`; `None` when it does not within `wait`.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Versioned>, StoreError>> + Send;
}

/// Client of the store over HTTP with JSON bodies.
#[derive(Clone)]
pub struct HttpStore {
    address: SocketAddr,
    idle: Arc<Mutex<Vec<SendRequest<Full<Bytes>>>>>,
}

#[derive(Deserialize)]
struct VersionOnly {
    version: u64,
}

impl HttpStore {
    /// Returns a client of the store at `address`, which connects on the first call.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Arc::default(),
        }
    }

    /// Sends one request and returns the status and body of its reply. `wait` is the time for
    /// which the store may wait before it replies.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] before the request was sent,
    /// [`StoreError::Unknown`] after.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: String,
        wait: Duration,
    ) -> Result<(StatusCode, Bytes), StoreError> {
        let exchange = async {
            let mut sender = self.pooled_or_new().await?;
            let request = Request::builder()
                .method(method)
                .uri(path)
                .header("host", self.address.to_string())
                .body(Full::new(Bytes::from(body)))
                .map_err(|_| StoreError::Unavailable)?;
            let reply = sender
                .send_request(request)
                .await
                .map_err(|_| StoreError::Unknown)?;
            let status = reply.status();
            let body = read_body(reply.into_body()).await?;
            self.idle
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(sender);
            Ok((status, body))
        };
        timeout(CALL_TIMEOUT + wait, exchange)
            .await
            .unwrap_or(Err(StoreError::Unknown))
    }

    async fn pooled_or_new(&self) -> Result<SendRequest<Full<Bytes>>, StoreError> {
        loop {
            let pooled = self
                .idle
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .pop();
            let Some(mut sender) = pooled else { break };
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|_| StoreError::Unavailable)?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| StoreError::Unavailable)?;
        tokio::spawn(connection);
        Ok(sender)
    }
}

async fn read_body(body: Incoming) -> Result<Bytes, StoreError> {
    Limited::new(body, MAX_REPLY_BYTES)
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .map_err(|_| StoreError::Unknown)
}

fn decode_versioned(status: StatusCode, body: &[u8]) -> Result<Option<Versioned>, StoreError> {
    match status {
        StatusCode::OK => serde_json::from_slice(body)
            .map(Some)
            .map_err(|_| StoreError::Unavailable),
        StatusCode::NOT_FOUND | StatusCode::NO_CONTENT => Ok(None),
        _ => Err(StoreError::Unavailable),
    }
}

impl Store for HttpStore {
    async fn read(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let path = format!("/v1/kv/{key}");
        let (status, body) = self
            .call(Method::GET, &path, String::new(), Duration::ZERO)
            .await?;
        decode_versioned(status, &body)
    }

    async fn write(&self, key: &str, version: u64, value: String) -> Result<u64, StoreError> {
        let path = format!("/v1/kv/{key}?version={version}");
        let (status, body) = self.call(Method::PUT, &path, value, Duration::ZERO).await?;
        match status {
            StatusCode::OK => serde_json::from_slice::<VersionOnly>(&body)
                .map(|written| written.version)
                .map_err(|_| StoreError::Unknown),
            StatusCode::CONFLICT => Err(StoreError::Conflict),
            StatusCode::PAYLOAD_TOO_LARGE => Err(StoreError::TooLarge),
            StatusCode::SERVICE_UNAVAILABLE => Err(StoreError::Unavailable),
            _ => Err(StoreError::Unknown),
        }
    }

    async fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        let wait_ms = wait.as_millis();
        let path = format!("/v1/watch/{key}?after={after}&wait_ms={wait_ms}");
        let (status, body) = self.call(Method::GET, &path, String::new(), wait).await?;
        decode_versioned(status, &body)
    }
}
