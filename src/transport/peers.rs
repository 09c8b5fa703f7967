//! Client and server of the gRPC service between daemons, which carries coordination messages
//! and batches of sub-requests.

use {
    crate::{
        collections::{Map, Name},
        daemon::shared::Shared,
        protocol::{
            generated::{
                self as wire,
                peer_client::PeerClient,
                peer_server::{Peer as PeerRpc, PeerServer},
            },
            message::{Batch, LeafReply, MemberKey, Message},
            verdict::{Cause, Failure},
            wire as convert,
        },
        state::catalog::LeafId,
    },
    futures_util::{
        FutureExt, StreamExt,
        stream::{self, BoxStream},
    },
    prost::Message as _,
    std::{
        error::Error,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::mpsc,
    tonic::{
        Code, Request, Response, Status, Streaming,
        transport::{Channel, Endpoint},
    },
};

/// Messages queued for one member. Further ones are dropped, so senders must tolerate loss as
/// on a network.
const OUTBOX_CAPACITY: usize = 256;

/// Largest message between daemons, bytes: a configuration record and its frame.
const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// Timeout for opening a connection to another daemon.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

type Client = PeerClient<Channel>;

/// gRPC channels to the other daemons and the queues of messages for them.
pub struct Peers {
    shared: Arc<Shared>,
    clients: Mutex<Map<SocketAddr, Client>>,
    outboxes: Mutex<Map<Name, mpsc::Sender<Message>>>,
    inbox: mpsc::UnboundedSender<(MemberKey, Vec<Message>)>,
}

impl Peers {
    /// Returns channels that open on first use. Messages that daemons send back in reply go
    /// to `inbox`, with their sender.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        inbox: mpsc::UnboundedSender<(MemberKey, Vec<Message>)>,
    ) -> Self {
        Self {
            shared,
            clients: Mutex::default(),
            outboxes: Mutex::default(),
            inbox,
        }
    }

    fn client(&self, address: SocketAddr) -> Result<Client, Status> {
        let mut clients = lock(&self.clients);
        if let Some(client) = clients.get(&address) {
            return Ok(client.clone());
        }
        let channel = Endpoint::from_shared(format!("http://{address}"))
            .map_err(|error| Status::internal(error.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .local_address(Some(self.shared.settings.peer_address.ip()))
            .tcp_nodelay(true)
            .initial_stream_window_size(1 << 20)
            .initial_connection_window_size(8 << 20)
            .connect_lazy();
        let client = PeerClient::new(channel)
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        clients.insert(address, client.clone());
        Ok(client)
    }

    /// Queues a coordination message for a member; drops it when the member's queue is full.
    pub fn post(self: &Arc<Self>, to: &Name, message: Message) {
        let outbox = {
            let mut outboxes = lock(&self.outboxes);
            match outboxes.get(to) {
                Some(outbox) if !outbox.is_closed() => outbox.clone(),
                _ => {
                    let (sender, receiver) = mpsc::channel(OUTBOX_CAPACITY);
                    tokio::spawn(Arc::clone(self).send_queued(to.clone(), receiver));
                    outboxes.insert(to.clone(), sender.clone());
                    sender
                }
            }
        };
        let _ = outbox.try_send(message);
    }

    /// Drops the queues of daemons that are not among `members`.
    pub fn keep_only(&self, members: &crate::collections::Set<Name>) {
        lock(&self.outboxes).retain(|id, _| members.contains(id));
    }

    /// Returns whether the queues of all members are empty.
    #[must_use]
    pub fn is_flushed(&self) -> bool {
        lock(&self.outboxes)
            .values()
            .all(|outbox| outbox.capacity() == OUTBOX_CAPACITY)
    }

    async fn send_queued(self: Arc<Self>, to: Name, mut queued: mpsc::Receiver<Message>) {
        let mut messages = Vec::new();
        while queued.recv_many(&mut messages, OUTBOX_CAPACITY).await > 0 {
            let Some(address) = self.shared.address_of(&to) else {
                messages.clear();
                continue;
            };
            let outgoing = std::mem::take(&mut messages);
            self.exchange(address, outgoing).await;
        }
    }

    /// Sends messages in one envelope to the daemon at `address`, which need not be a member,
    /// and puts its reply into the inbox. Messages of a failed call are lost.
    pub async fn exchange(&self, address: SocketAddr, messages: Vec<Message>) {
        let Ok(mut client) = self.client(address) else {
            return;
        };
        let own = self.own_key();
        let envelope = wire::Parcel {
            cluster: self.shared.settings.cluster.to_string(),
            from: Some((&own).into()),
            messages: messages.into_iter().map(Into::into).collect(),
        };
        self.count_control_bytes(&envelope);
        let mut request = Request::new(envelope);
        request.set_timeout(self.shared.settings.lease() / 3);
        let call_timeout = self.shared.settings.lease() / 3;
        // This side needs a timeout too, since a frozen peer does not enforce the request's.
        let Ok(Ok(reply)) = tokio::time::timeout(call_timeout, client.exchange(request)).await
        else {
            self.shared.metrics.lost_messages.inc();
            return;
        };
        let reply = reply.into_inner();
        self.count_control_bytes(&reply);
        if let Ok((from, messages)) = decode_envelope(reply) {
            let _ = self.inbox.send((from, messages));
        }
    }

    fn count_control_bytes(&self, envelope: &wire::Parcel) {
        let bytes = envelope.encoded_len() as u64;
        self.shared.metrics.control_bytes.inc_by(bytes);
    }

    fn own_key(&self) -> MemberKey {
        self.shared.view().key.clone().unwrap_or(MemberKey {
            id: self.shared.settings.id.clone(),
            term: 0,
        })
    }

    /// Sends a batch to the owner of its leaves and returns one reply for each leaf. A leaf
    /// without a reply gets a failure, whose verdict is `NotRun` only when the batch was not
    /// sent or the owner rejected it.
    #[must_use]
    pub fn execute(&self, owner: &Name, batch: Batch) -> BoxStream<'static, LeafReply> {
        let leaves = batch.leaves.clone();
        let client = self
            .shared
            .address_of(owner)
            .and_then(|address| self.client(address).ok());
        let Some(mut client) = client else {
            return failures(leaves, Failure::not_run(Cause::NoOwner)).boxed();
        };
        let cluster = self.shared.settings.cluster.clone();
        let own = self.own_key();
        let started = async move {
            let request = convert::encode_batch(&batch, &cluster, &own);
            match client.execute(request).await {
                Ok(reply) => replies(reply.into_inner(), leaves).boxed(),
                Err(status) => failures(leaves, status_failure(&status)).boxed(),
            }
        };
        started.flatten_stream().boxed()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn failures(
    leaves: Vec<LeafId>,
    failure: Failure,
) -> impl futures_util::Stream<Item = LeafReply> + Send {
    stream::iter(leaves.into_iter().map(move |leaf| LeafReply {
        leaf,
        outcome: Err(failure),
        range: None,
        queued_us: 0,
    }))
}

/// Returns the replies of `incoming`, then a failure for each leaf that has none when the
/// stream ends or breaks.
fn replies(
    incoming: Streaming<wire::LeafReply>,
    leaves: Vec<LeafId>,
) -> impl futures_util::Stream<Item = LeafReply> + Send {
    stream::unfold(
        (incoming, leaves),
        |(mut incoming, mut pending)| async move {
            if pending.is_empty() {
                return None;
            }
            if let Some(Ok(reply)) = incoming.next().await {
                let reply = LeafReply::from(reply);
                pending.retain(|leaf| *leaf != reply.leaf);
                return Some((reply, (incoming, pending)));
            }
            let leaf = pending.pop()?;
            let reply = LeafReply {
                leaf,
                outcome: Err(Failure::may_have_run(Cause::Unreachable)),
                range: None,
                queued_us: 0,
            };
            Some((reply, (incoming, pending)))
        },
    )
}

fn status_failure(status: &Status) -> Failure {
    let is_rejected = matches!(
        status.code(),
        Code::PermissionDenied | Code::InvalidArgument | Code::FailedPrecondition
    );
    if is_rejected || is_connect_error(status) {
        Failure::not_run(Cause::NoOwner)
    } else {
        Failure::may_have_run(Cause::Unreachable)
    }
}

fn is_connect_error(status: &Status) -> bool {
    let mut source = status.source();
    while let Some(error) = source {
        if error.is::<tonic::ConnectError>() {
            return true;
        }
        source = error.source();
    }
    false
}

fn decode_envelope(
    envelope: wire::Parcel,
) -> Result<(MemberKey, Vec<Message>), convert::DecodeError> {
    let from = convert::decode_member(envelope.from)?;
    let messages = envelope
        .messages
        .into_iter()
        .map(Message::try_from)
        .collect::<Result<_, _>>()?;
    Ok((from, messages))
}

/// Handles what other daemons send.
pub trait Served: Send + Sync + 'static {
    /// Handles messages and returns those to send back.
    fn receive(&self, from: &MemberKey, messages: Vec<Message>) -> Vec<Message>;
    /// Returns whether batches from a daemon are accepted.
    fn admits(&self, from: &MemberKey) -> bool;
    /// Runs a batch and returns the reply of each leaf as it arrives.
    fn run(&self, batch: Batch) -> BoxStream<'static, LeafReply>;
}

/// Server of the protocol between daemons.
pub struct PeerService<T> {
    served: Arc<T>,
    shared: Arc<Shared>,
}

impl<T: Served> PeerService<T> {
    /// Returns the service in the form that tonic serves.
    #[must_use]
    pub fn server(served: Arc<T>, shared: Arc<Shared>) -> PeerServer<Self> {
        PeerServer::new(Self { served, shared })
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES)
    }

    fn check_cluster(&self, cluster: &str) -> Result<(), Status> {
        if cluster == &*self.shared.settings.cluster {
            Ok(())
        } else {
            Err(Status::permission_denied("another cluster"))
        }
    }
}

#[tonic::async_trait]
impl<T: Served> PeerRpc for PeerService<T> {
    type ExecuteStream = BoxStream<'static, Result<wire::LeafReply, Status>>;

    async fn exchange(
        &self,
        request: Request<wire::Parcel>,
    ) -> Result<Response<wire::Parcel>, Status> {
        let envelope = request.into_inner();
        self.check_cluster(&envelope.cluster)?;
        let (from, messages) =
            decode_envelope(envelope).map_err(|_| Status::invalid_argument("unreadable parcel"))?;
        let replies = self.served.receive(&from, messages);
        let own = self.shared.view().key.clone().unwrap_or(MemberKey {
            id: self.shared.settings.id.clone(),
            term: 0,
        });
        Ok(Response::new(wire::Parcel {
            cluster: self.shared.settings.cluster.to_string(),
            from: Some((&own).into()),
            messages: replies.into_iter().map(Into::into).collect(),
        }))
    }

    async fn execute(
        &self,
        request: Request<wire::Batch>,
    ) -> Result<Response<Self::ExecuteStream>, Status> {
        let batch = request.into_inner();
        self.check_cluster(&batch.cluster)?;
        let from = convert::decode_member(batch.from.clone())
            .map_err(|_| Status::invalid_argument("no sender"))?;
        if !self.served.admits(&from) {
            return Err(Status::permission_denied(format!("{from} is not a member")));
        }
        let replies = self.served.run(batch.into());
        Ok(Response::new(replies.map(|reply| Ok(reply.into())).boxed()))
    }
}
