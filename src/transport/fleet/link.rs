//! The connection over which an entry host hands pieces to another.

use {
    super::{
        ANSWER_TIME,
        piece::{Parts, Piece},
    },
    crate::{
        protocol::generated::{GatherRequest, fleet_client::FleetClient},
        transport::leaf::guard_socket,
    },
    futures_util::{StreamExt, stream::BoxStream},
    hyper::{
        Request, Response, Uri,
        body::Incoming,
        client::conn::http2::{self, SendRequest},
    },
    hyper_util::rt::{TokioExecutor, TokioIo},
    std::{
        io,
        net::SocketAddr,
        pin::Pin,
        sync::{Mutex, PoisonError},
        task::{Context, Poll},
    },
    tokio::{net::TcpStream, time::timeout},
    tonic::{Code, body::Body},
    tower::Service,
};

/// A connection to another entry host, made when it is first needed and again when it broke.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    sender: Mutex<Option<SendRequest<Body>>>,
}

/// Why a piece was not taken on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotTaken {
    /// The host can't be reached: it asks no leaf.
    Unreachable(String),
    /// The host said that it asks no leaf.
    Refused(String),
    /// The connection broke after the piece was sent.
    Broken(String),
}

impl Link {
    /// Returns a link to the host at `address` that is not connected yet.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: Mutex::default(),
        }
    }

    /// Hands a piece over; returns the merged replies as they come once the host has taken
    /// it on. Dropped, the host stops asking.
    ///
    /// # Errors
    ///
    /// Says whether a leaf may have been asked.
    pub async fn hand(
        &self,
        piece: impl FnOnce() -> Piece,
    ) -> Result<BoxStream<'static, Result<Parts, String>>, NotTaken> {
        let sender = self
            .connected()
            .await
            .map_err(|error| NotTaken::Unreachable(error.to_string()))?;
        let origin = Uri::try_from(format!("http://{}", self.address))
            .map_err(|error| NotTaken::Unreachable(error.to_string()))?;
        let mut client = FleetClient::with_origin(Sender(sender), origin);
        let request = GatherRequest::from(piece());
        match client.gather(request).await {
            Ok(response) => {
                let parts = response.into_inner();
                let parts = parts.map(|parts| match parts {
                    Ok(parts) => Ok(Parts::from(parts)),
                    Err(status) => Err(status.message().to_owned()),
                });
                Ok(parts.boxed())
            }
            Err(status) if status.code() == Code::FailedPrecondition => {
                Err(NotTaken::Refused(status.message().to_owned()))
            }
            Err(status) => Err(NotTaken::Broken(status.message().to_owned())),
        }
    }

    async fn connected(&self) -> io::Result<SendRequest<Body>> {
        let known = self.lock().clone();
        if let Some(sender) = known
            && !sender.is_closed()
        {
            return Ok(sender);
        }
        let sender = connect(self.address).await?;
        *self.lock() = Some(sender.clone());
        Ok(sender)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<SendRequest<Body>>> {
        self.sender.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(address: SocketAddr) -> io::Result<SendRequest<Body>> {
    let stream = timeout(ANSWER_TIME, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    guard_socket(&stream)?;
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(io::Error::other)?;
    // How it ended shows when the sender is used again.
    tokio::spawn(connection);
    Ok(sender)
}

/// The sender as the generated client wants it.
struct Sender(SendRequest<Body>);

impl Service<Request<Body>> for Sender {
    type Response = Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, hyper::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), hyper::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, request: Request<Body>) -> Self::Future {
        Box::pin(self.0.send_request(request))
    }
}
