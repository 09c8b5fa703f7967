//! The connection over which an entry host sends subqueries and relayed requests to another, and
//! claims limits.

use {
    super::{
        MAX_MESSAGE_BYTES, REPLY_TIMEOUT, limits,
        organisations::{self, CopyProof, QuotaClaim, QuotaGrant},
        placement::{PlacementCall, PlacementEnd},
        relay::{RelayedRequest, RelayedResponse},
        rollouts::{self, RolloutReport},
        subquery::{PartialResult, Subquery},
    },
    crate::{
        collections::Name,
        protocol::generated::{
            GatherRequest, PlacementEnd as WirePlacementEnd, PlacementReply, PlacementRequest,
            ProofRequest, RelayReply, RelayRequest, fleet_client::FleetClient,
        },
        state::{
            leaf_limit::Share, placements::Decision, rate_allocator::Claim, rollouts::Directive,
        },
        transport::leaf::enable_keepalive,
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
    tonic::{Code, Streaming, body::Body},
    tower::Service,
};

/// A connection to another entry host, opened on first use and again after it has closed.
#[derive(Debug)]
pub struct PeerChannel {
    address: SocketAddr,
    sender: Mutex<Option<SendRequest<Body>>>,
}

/// Why another host did not accept a subquery or a relayed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerRejection {
    /// The host can't be reached, so it queries no leaf.
    Unreachable(String),
    /// The host rejected it and queries no leaf.
    Refused(String),
    /// The connection failed after it was sent; the host may have queried leaves.
    Broken(String),
}

/// A request that another host has accepted.
pub struct RelayedCall(Streaming<RelayReply>);

impl RelayedCall {
    /// Returns the response.
    ///
    /// # Errors
    ///
    /// Fails when the host is lost; leaves may have got the request.
    pub async fn response(mut self) -> Result<RelayedResponse, String> {
        let reply = self.0.message().await;
        let reply = reply.map_err(|status| status.message().to_owned())?;
        let reply = reply.ok_or_else(|| "ended early".to_owned())?;
        RelayedResponse::try_from(reply)
    }
}

/// A decision to come about a request that needs a place.
pub struct PendingPlacement(Streaming<PlacementReply>);

impl PendingPlacement {
    /// Returns the decision.
    ///
    /// # Errors
    ///
    /// Fails when the host is lost.
    pub async fn decision(mut self) -> Result<Decision, String> {
        let reply = self.0.message().await;
        let reply = reply.map_err(|status| status.message().to_owned())?;
        reply
            .map(Decision::from)
            .ok_or_else(|| "ended early".to_owned())
    }
}

impl PeerChannel {
    /// Returns a link to the host at `address`, without connecting.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: Mutex::default(),
        }
    }

    /// Sends a subquery. Once the helper has accepted it, returns the stream of its partial
    /// results. Dropping the stream makes the helper cancel the subquery.
    ///
    /// # Errors
    ///
    /// Fails when the helper does not accept the subquery; the error shows whether leaves
    /// may have been queried.
    pub async fn send_subquery(
        &self,
        subquery: impl FnOnce() -> Subquery,
    ) -> Result<BoxStream<'static, Result<PartialResult, String>>, PeerRejection> {
        let client = self.open_client().await;
        let mut client = client.map_err(PeerRejection::Unreachable)?;
        let request = GatherRequest::from(subquery());
        match client.gather(request).await {
            Ok(response) => {
                let results = response.into_inner();
                let results = results.map(|partial| match partial {
                    Ok(partial) => Ok(PartialResult::from(partial)),
                    Err(status) => Err(status.message().to_owned()),
                });
                Ok(results.boxed())
            }
            Err(status) if status.code() == Code::FailedPrecondition => {
                Err(PeerRejection::Refused(status.message().to_owned()))
            }
            Err(status) => Err(PeerRejection::Broken(status.message().to_owned())),
        }
    }

    /// Sends a request of a caller, which the host handles. Once the host has accepted it,
    /// returns its response to come. Dropping that makes the host cancel the request.
    ///
    /// # Errors
    ///
    /// Fails when the host does not accept the request; the error shows whether leaves may have
    /// got it.
    pub async fn send_request(
        &self,
        request: RelayedRequest,
    ) -> Result<RelayedCall, PeerRejection> {
        let client = self.open_client().await;
        let mut client = client.map_err(PeerRejection::Unreachable)?;
        match client.relay(RelayRequest::from(request)).await {
            Ok(response) => Ok(RelayedCall(response.into_inner())),
            Err(status) if status.code() == Code::FailedPrecondition => {
                Err(PeerRejection::Refused(status.message().to_owned()))
            }
            Err(status) => Err(PeerRejection::Broken(status.message().to_owned())),
        }
    }

    /// Sends a request of a caller, whose key the host checks, like
    /// [`send_request`](Self::send_request). A host that doesn't know of keys rejects it.
    ///
    /// # Errors
    ///
    /// Fails when the host does not accept the request; the error shows whether leaves may have
    /// got it.
    pub async fn send_with_key(
        &self,
        request: RelayedRequest,
    ) -> Result<RelayedCall, PeerRejection> {
        let client = self.open_client().await;
        let mut client = client.map_err(PeerRejection::Unreachable)?;
        match client.relay_with_key(RelayRequest::from(request)).await {
            Ok(response) => Ok(RelayedCall(response.into_inner())),
            Err(status)
                if matches!(
                    status.code(),
                    Code::FailedPrecondition | Code::Unimplemented
                ) =>
            {
                Err(PeerRejection::Refused(status.message().to_owned()))
            }
            Err(status) => Err(PeerRejection::Broken(status.message().to_owned())),
        }
    }

    /// Returns how current the host's copy of the registry is proven to be; `None` without a
    /// proof.
    ///
    /// # Errors
    ///
    /// Fails when the host does not reply.
    pub async fn prove_current(&self) -> Result<Option<CopyProof>, String> {
        let mut client = self.open_client().await?;
        match client.prove_current(ProofRequest {}).await {
            Ok(response) => Ok(organisations::decode_proof(response.into_inner())),
            Err(status) => Err(status.message().to_owned()),
        }
    }

    /// Claims requests of the quotas of organisations for the host `host`, and returns a grant
    /// for each claim; none when the host is not their allocator.
    ///
    /// # Errors
    ///
    /// Fails when the host does not reply.
    pub async fn take_quota(
        &self,
        host: &Name,
        claims: &[QuotaClaim],
    ) -> Result<Vec<QuotaGrant>, String> {
        let mut client = self.open_client().await?;
        let request = organisations::encode_claims(host, claims);
        match client.take_quota(request).await {
            Ok(response) => Ok(organisations::decode_grants(response.into_inner())),
            Err(status) => Err(status.message().to_owned()),
        }
    }

    /// Asks the host for a place. Once it has accepted, returns its decision to come. Dropping
    /// that takes the request out of its queue.
    ///
    /// # Errors
    ///
    /// Fails when the host gives no places for the service, or is lost.
    pub async fn place(&self, call: &PlacementCall) -> Result<PendingPlacement, String> {
        let mut client = self.open_client().await?;
        match client.place(PlacementRequest::from(call)).await {
            Ok(response) => Ok(PendingPlacement(response.into_inner())),
            Err(status) => Err(status.message().to_owned()),
        }
    }

    /// Ends a place.
    ///
    /// # Errors
    ///
    /// Fails when the host does not reply.
    pub async fn end_place(&self, end: &PlacementEnd) -> Result<(), String> {
        let mut client = self.open_client().await?;
        let ended = client.end_placement(WirePlacementEnd::from(end)).await;
        ended
            .map(drop)
            .map_err(|status| status.message().to_owned())
    }

    /// Claims shares of the rate limits of leaves for the host `host`, and returns a share
    /// for each claim.
    ///
    /// # Errors
    ///
    /// Fails when the host does not reply.
    pub async fn claim_limits(&self, host: &Name, claims: &[Claim]) -> Result<Vec<Share>, String> {
        let mut client = self.open_client().await?;
        let request = limits::encode_claims(host, claims);
        match client.share_limits(request).await {
            Ok(response) => Ok(limits::decode_shares(response.into_inner())),
            Err(status) => Err(status.message().to_owned()),
        }
    }

    /// Reports to the host, which drives rollouts, and returns what this host is to do; `None`
    /// when the host does not drive rollouts.
    ///
    /// # Errors
    ///
    /// Fails when the host does not reply.
    pub async fn report_rollouts(
        &self,
        report: RolloutReport,
    ) -> Result<Option<Vec<Directive>>, String> {
        let mut client = self.open_client().await?;
        match client
            .report_rollouts(rollouts::encode_report(report))
            .await
        {
            Ok(response) => Ok(rollouts::decode_directives(response.into_inner())),
            Err(status) => Err(status.message().to_owned()),
        }
    }

    /// Returns a client on an open connection, and connects when there is none.
    async fn open_client(&self) -> Result<FleetClient<SenderService>, String> {
        let sender = self.open_sender().await;
        let sender = sender.map_err(|error| error.to_string())?;
        let origin = Uri::try_from(format!("http://{}", self.address));
        let origin = origin.map_err(|error| error.to_string())?;
        let client = FleetClient::with_origin(SenderService(sender), origin);
        Ok(client.max_decoding_message_size(MAX_MESSAGE_BYTES))
    }

    /// Returns a sender on an open connection, and connects when there is none.
    async fn open_sender(&self) -> io::Result<SendRequest<Body>> {
        let existing = self.lock().clone();
        if let Some(sender) = existing
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
    let stream = timeout(REPLY_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    enable_keepalive(&stream)?;
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(io::Error::other)?;
    // The result is not needed: `PeerChannel` checks `is_closed` before it uses the sender again.
    tokio::spawn(connection);
    Ok(sender)
}

/// Makes the sender a [`Service`], as the generated client requires.
struct SenderService(SendRequest<Body>);

impl Service<Request<Body>> for SenderService {
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
