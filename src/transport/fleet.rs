//! What entry hosts tell each other: what the registry told them, for hosts that can't
//! read it themselves or leave that to others.

use {
    super::registry::Entry,
    crate::{
        clock::{Millis, millis},
        protocol::generated::{
            ChangedEntry, FollowRequest, GatherRequest, GatheredParts, SnapshotReply,
            SnapshotRequest, Update as WireUpdate,
            fleet_client::FleetClient,
            fleet_server::{Fleet, FleetServer},
        },
    },
    futures_util::{
        StreamExt,
        stream::{self, BoxStream},
    },
    rand::seq::IndexedRandom,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        net::TcpListener,
        sync::watch,
        time::{error::Elapsed, sleep, timeout},
    },
    tokio_util::sync::CancellationToken,
    tonic::{
        Request, Response, Status, Streaming,
        transport::{Channel, Endpoint, Server, server::TcpIncoming},
    },
};

mod held;
mod link;
mod piece;
mod told;

pub use self::{
    held::{Batch, FollowerGuard, Held, Missing, Snapshot, Standing},
    link::{Link, NotTaken},
    piece::{Lost, Parts, Piece, Pieces},
    told::{Ready, Told, unpack},
};

/// Time in which another host must answer: it stands in the same region.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// Time in which a starting host looks for another that tells it everything; the registry is
/// asked after that.
const LEARN_TIME: Duration = Duration::from_millis(600);

/// Time for which a host that has just started itself is waited for.
const LEARN_WAIT: Duration = Duration::from_millis(300);

/// Pause after a host that could not be asked.
const LEARN_PAUSE: Duration = Duration::from_millis(30);

/// Largest snapshot, bytes: thousands of leaves with some hundred bytes each.
const SNAPSHOT_LIMIT: usize = 32 << 20;

/// Longest time between two updates to a host that follows: it takes a source that is
/// silent for three times as long for lost.
const UPDATE_TIME: Duration = Duration::from_millis(400);

/// Time without an update after which a source is lost.
pub const SILENCE_TIME: Duration = Duration::from_millis(1_200);

/// Time between two questions whether a host that follows is still there, and in which
/// it must answer.
const FOLLOWER_PROBE: Duration = Duration::from_secs(3);

/// What a host that is followed tells.
#[derive(Clone, Debug)]
pub struct Update {
    /// Entries in the order of their changes.
    pub entries: Vec<Entry>,
    /// Revision up to which they go.
    pub revision: u64,
    /// Whether they are all that there are.
    pub is_whole: bool,
    /// How far they can be believed.
    pub standing: Standing,
}

/// The updates of a host that is followed.
pub struct Updates(Streaming<WireUpdate>);

impl Updates {
    /// Returns the next update.
    ///
    /// # Errors
    ///
    /// Fails when the source ends, or is silent for [`SILENCE_TIME`].
    pub async fn next(&mut self) -> Result<Update, Status> {
        let next = timeout(SILENCE_TIME, self.0.message()).await;
        let update = next.map_err(|Elapsed { .. }| Status::deadline_exceeded("silent"))??;
        let update = update.ok_or_else(|| Status::unavailable("the source ended"))?;
        Ok(Update {
            entries: read(update.entries, &update.packed)?,
            revision: update.revision,
            is_whole: update.whole,
            standing: Standing {
                age: Duration::from_millis(update.age_ms),
                doubt: Duration::from_millis(update.doubt_ms),
            },
        })
    }
}

/// What a host serves to others.
struct Served<P> {
    held: Held,
    pieces: P,
}

#[tonic::async_trait]
impl<P: Pieces> Fleet for Served<P> {
    type FollowStream = BoxStream<'static, Result<WireUpdate, Status>>;
    type GatherStream = BoxStream<'static, Result<GatheredParts, Status>>;

    async fn snapshot(
        &self,
        request: Request<SnapshotRequest>,
    ) -> Result<Response<SnapshotReply>, Status> {
        let request = request.into_inner();
        let wait = Duration::from_millis(request.wait_ms).min(ANSWER_TIME);
        let held = self.held.when_newer(request.revision, wait).await;
        let standing = self.held.standing(Millis::now());
        let mut reply = SnapshotReply {
            revision: held.revision,
            peers: held.peers.iter().map(ToString::to_string).collect(),
            age_ms: millis(standing.age),
            doubt_ms: millis(standing.doubt),
            ..SnapshotReply::default()
        };
        if held.revision > request.revision {
            match self.held.admit(request.address.parse().ok(), Millis::now()) {
                Ok(()) => {
                    (reply.entries, reply.packed) = held.entries.ready().clone().into_fields();
                }
                Err(others) => {
                    reply.revision = 0;
                    reply.peers = others.iter().map(ToString::to_string).collect();
                }
            }
        }
        Ok(Response::new(reply))
    }

    async fn follow(
        &self,
        request: Request<FollowRequest>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let telling = Telling {
            held: self.held.clone(),
            changes: self.held.changes(),
            revision: request.into_inner().revision,
            is_first: true,
            _follower: self.held.count_follower(),
        };
        let updates = stream::unfold(telling, async |mut telling| {
            let update = telling.next().await?;
            Some((Ok(update), telling))
        });
        Ok(Response::new(updates.boxed()))
    }

    async fn gather(
        &self,
        request: Request<GatherRequest>,
    ) -> Result<Response<Self::GatherStream>, Status> {
        let piece = Piece::try_from(request.into_inner())?;
        let parts = self.pieces.take(piece);
        let parts = parts.map_err(Status::failed_precondition)?;
        let parts = parts.map(|parts| Ok(GatheredParts::from(parts)));
        Ok(Response::new(parts.boxed()))
    }
}

/// One host that follows this one.
struct Telling {
    held: Held,
    changes: watch::Receiver<()>,
    /// Revision up to which it was told.
    revision: u64,
    is_first: bool,
    _follower: FollowerGuard,
}

impl Telling {
    /// Returns the next update, at the latest after [`UPDATE_TIME`]; `None` when this
    /// host is stopping.
    async fn next(&mut self) -> Option<WireUpdate> {
        self.changes.mark_unchanged();
        let is_first = std::mem::take(&mut self.is_first);
        let mut missing = self.held.since(self.revision);
        if matches!(missing, Missing::Nothing) && !is_first {
            // A change and the end of the wait both lead to an update.
            let _ = timeout(UPDATE_TIME, self.changes.changed()).await;
            missing = self.held.since(self.revision);
        }
        if self.held.is_stopping() {
            return None;
        }
        let standing = self.held.standing(Millis::now());
        let mut update = WireUpdate {
            revision: self.revision,
            age_ms: millis(standing.age),
            doubt_ms: millis(standing.doubt),
            ..WireUpdate::default()
        };
        match missing {
            Missing::Nothing => {}
            // The later ones are told next.
            Missing::Changes(batches) => {
                if let Some(batch) = batches.first() {
                    update.revision = batch.revision;
                    (update.entries, update.packed) = batch.entries.ready().clone().into_fields();
                }
            }
            Missing::All(snapshot) => {
                update.revision = snapshot.revision;
                update.whole = true;
                (update.entries, update.packed) = snapshot.entries.ready().clone().into_fields();
            }
        }
        self.revision = update.revision;
        Some(update)
    }
}

fn read(plain: Vec<ChangedEntry>, packed: &[u8]) -> Result<Vec<Entry>, Status> {
    let entries = if packed.is_empty() {
        plain
    } else {
        unpack(packed).map_err(|error| Status::internal(error.to_string()))?
    };
    let entries = entries.into_iter().map(|entry| Entry {
        key: entry.key.into(),
        value: entry.value,
    });
    Ok(entries.collect())
}

/// Serves `held`, and asks leaves, for other hosts until `stop`.
///
/// # Errors
///
/// Fails when the server ends by itself.
pub async fn serve(
    listener: TcpListener,
    held: Held,
    pieces: impl Pieces,
    stop: CancellationToken,
) -> Result<(), tonic::transport::Error> {
    let service = FleetServer::new(Served { held, pieces });
    let service = service.max_encoding_message_size(SNAPSHOT_LIMIT);
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    Server::builder()
        .http2_keepalive_interval(Some(FOLLOWER_PROBE))
        .http2_keepalive_timeout(Some(FOLLOWER_PROBE))
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, stop.cancelled_owned())
        .await
}

/// Asks the host at `address` for what it knows beyond `revision`, for the host that answers
/// at `own`.
///
/// # Errors
///
/// Fails when the host does not answer in time.
pub async fn ask(
    address: SocketAddr,
    revision: u64,
    wait: Duration,
    own: Option<SocketAddr>,
) -> Result<Snapshot, Status> {
    let mut client = client(endpoint(address)?.timeout(ANSWER_TIME)).await?;
    let request = SnapshotRequest {
        revision,
        wait_ms: millis(wait),
        address: own.map(|own| own.to_string()).unwrap_or_default(),
    };
    let reply = client.snapshot(request).await?.into_inner();
    Ok(Snapshot {
        revision: reply.revision,
        entries: Arc::new(Told::new(read(reply.entries, &reply.packed)?)),
        peers: reply
            .peers
            .iter()
            .filter_map(|peer| peer.parse().ok())
            .collect(),
        standing: Standing {
            age: Duration::from_millis(reply.age_ms),
            doubt: Duration::from_millis(reply.doubt_ms),
        },
    })
}

/// Learns everything from one of `seeds`, or of the hosts that they name instead, for the
/// host that answers at `own`; `None` when none of them tells it in time.
pub async fn learn(
    seeds: &[SocketAddr],
    own: Option<SocketAddr>,
) -> Option<(SocketAddr, Snapshot)> {
    let learning = async {
        let mut named: Vec<SocketAddr> = Vec::new();
        loop {
            let address = match named.choose(&mut rand::rng()) {
                Some(named) => *named,
                None => *seeds.choose(&mut rand::rng())?,
            };
            match ask(address, 0, LEARN_WAIT, own).await {
                Ok(snapshot) if snapshot.revision > 0 => return Some((address, snapshot)),
                Ok(snapshot) => {
                    named = snapshot.peers;
                    named.retain(|named| Some(*named) != own);
                }
                // It may be starting as well.
                Err(_) => {
                    named.clear();
                    sleep(LEARN_PAUSE).await;
                }
            }
        }
    };
    timeout(LEARN_TIME, learning).await.ok().flatten()
}

/// Follows the host at `address`, which tells what it knows beyond `revision`.
///
/// # Errors
///
/// Fails when the host does not answer in time.
pub async fn follow(address: SocketAddr, revision: u64) -> Result<Updates, Status> {
    let mut client = client(endpoint(address)?).await?;
    let following = timeout(ANSWER_TIME, client.follow(FollowRequest { revision })).await;
    let updates = following.map_err(|Elapsed { .. }| Status::deadline_exceeded("no answer"))??;
    Ok(Updates(updates.into_inner()))
}

fn endpoint(address: SocketAddr) -> Result<Endpoint, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| Status::internal(error.to_string()))?;
    Ok(endpoint.connect_timeout(ANSWER_TIME))
}

async fn client(endpoint: Endpoint) -> Result<FleetClient<Channel>, Status> {
    let channel = endpoint.connect().await;
    let channel = channel.map_err(|error| Status::unavailable(error.to_string()))?;
    Ok(FleetClient::new(channel).max_decoding_message_size(SNAPSHOT_LIMIT))
}
