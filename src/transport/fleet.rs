//! The gRPC service between entry hosts. Hosts that can't read the registry, or that leave
//! reading it to others, sync their copy from another host; hosts also run subqueries for
//! each other.

use {
    super::registry::Entry,
    crate::{
        clock::{Millis, millis},
        protocol::generated::{
            ChangedEntry, FollowRequest, GatherRequest, GatheredParts, LimitsReply, LimitsRequest,
            PlacementEnd as WirePlacementEnd, PlacementEnded, PlacementReply, PlacementRequest,
            ProofReply, ProofRequest, QuotaReply, QuotaRequest, RelayReply, RelayRequest,
            RolloutReply, RolloutReport as WireReport, SnapshotReply, SnapshotRequest,
            Update as WireUpdate,
            fleet_client::FleetClient,
            fleet_server::{Fleet, FleetServer},
        },
        state::revision::Revision,
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

mod channel;
mod entries;
mod limits;
mod organisations;
mod placement;
mod registry_copy;
mod relay;
mod rollouts;
mod subquery;

pub use self::{
    channel::{PeerChannel, PeerRejection, PendingPlacement, RelayedCall},
    entries::{EncodedEntries, WireEntries, unpack},
    limits::LimitService,
    organisations::{CopyProof, OrganisationService, QuotaClaim, QuotaGrant},
    placement::{PlacementCall, PlacementEnd, PlacementOutcome, PlacementService},
    registry_copy::{
        ChangeBatch, FollowerGuard, MissingChanges, RegistryCopy, RegistryState, SyncStatus,
    },
    relay::{RelayService, RelayedRequest, RelayedResponse},
    rollouts::{RolloutReport, RolloutService},
    subquery::{LostShard, PartialResult, Subquery, SubqueryService},
};

/// Timeout of a call to another host, which is in the same region.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);

/// Time in which a starting host tries to copy the registry from another host; after that it
/// reads the registry itself.
const INITIAL_SYNC_TIMEOUT: Duration = Duration::from_millis(600);

/// Time for which a host that has no registry copy yet, since it has just started, may wait
/// for one before it replies to a starting host.
const INITIAL_STATE_WAIT: Duration = Duration::from_millis(300);

/// Delay before the next host is tried after a failed call.
const INITIAL_SYNC_RETRY_DELAY: Duration = Duration::from_millis(30);

/// Largest message: thousands of leaves with some hundred bytes each.
const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// Longest time between two updates to a follower. Followers drop a source after three
/// times as long without an update ([`UPDATE_TIMEOUT`]).
const UPDATE_INTERVAL: Duration = Duration::from_millis(400);

/// Time without an update after which a follower drops its source.
pub const UPDATE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Interval of HTTP/2 keepalive pings to followers, and the timeout of each ping.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(3);

/// One update from a source.
#[derive(Clone, Debug)]
pub struct SyncUpdate {
    /// Changed entries, in the order of their changes.
    pub entries: Vec<Entry>,
    /// Revision of the source's copy with these entries applied.
    pub revision: Revision,
    /// Whether the entries are a full copy and not only changes.
    pub is_full: bool,
    /// Sync status of the source.
    pub sync_status: SyncStatus,
}

/// The stream of updates from a source.
pub struct UpdateStream(Streaming<WireUpdate>);

impl UpdateStream {
    /// Returns the next update.
    ///
    /// # Errors
    ///
    /// Fails when the source closes the stream or sends nothing for [`UPDATE_TIMEOUT`], or
    /// when the entries can't be decoded.
    pub async fn next(&mut self) -> Result<SyncUpdate, Status> {
        let next = timeout(UPDATE_TIMEOUT, self.0.message()).await;
        let update = next.map_err(|Elapsed { .. }| Status::deadline_exceeded("silent"))??;
        let update = update.ok_or_else(|| Status::unavailable("the source closed the stream"))?;
        Ok(SyncUpdate {
            entries: decode_entries(update.entries, &update.packed)?,
            revision: Revision {
                era: update.era,
                number: update.revision,
            },
            is_full: update.whole,
            sync_status: SyncStatus {
                age: Duration::from_millis(update.age_ms),
                suspect_left: Duration::from_millis(update.doubt_ms),
            },
        })
    }
}

/// What serves the calls of other hosts.
pub struct FleetService<P, L, R, O, Q, V> {
    /// This host's registry copy.
    pub registry_copy: RegistryCopy,
    /// Runs subqueries.
    pub subqueries: P,
    /// Allocates the rate limits of leaves.
    pub limits: L,
    /// Handles requests for hosts that can't reach leaves.
    pub relays: R,
    /// Answers about organisations.
    pub organisations: O,
    /// Gives out places at leaves.
    pub placements: Q,
    /// Drives rollouts.
    pub rollouts: V,
}

#[tonic::async_trait]
impl<P, L, R, O, Q, V> Fleet for FleetService<P, L, R, O, Q, V>
where
    P: SubqueryService,
    L: LimitService,
    R: RelayService,
    O: OrganisationService,
    Q: PlacementService,
    V: RolloutService,
{
    type FollowStream = BoxStream<'static, Result<WireUpdate, Status>>;
    type GatherStream = BoxStream<'static, Result<GatheredParts, Status>>;
    type RelayStream = BoxStream<'static, Result<RelayReply, Status>>;
    type PlaceStream = BoxStream<'static, Result<PlacementReply, Status>>;
    type RelayWithKeyStream = BoxStream<'static, Result<RelayReply, Status>>;

    async fn snapshot(
        &self,
        request: Request<SnapshotRequest>,
    ) -> Result<Response<SnapshotReply>, Status> {
        let request = request.into_inner();
        let wait = Duration::from_millis(request.wait_ms).min(REPLY_TIMEOUT);
        let known = Revision {
            era: request.era,
            number: request.revision,
        };
        let state = self.registry_copy.wait_newer_than(known, wait).await;
        let sync_status = self.registry_copy.sync_status(Millis::now());
        let mut reply = SnapshotReply {
            revision: state.revision.number,
            era: state.revision.era,
            peers: state.peers.iter().map(ToString::to_string).collect(),
            age_ms: millis(sync_status.age),
            doubt_ms: millis(sync_status.suspect_left),
            ..SnapshotReply::default()
        };
        if state.revision > known {
            let address = request.address.parse().ok();
            match self.registry_copy.admit_full_sync(address, Millis::now()) {
                Ok(()) => {
                    (reply.entries, reply.packed) = state.entries.encoded().clone().into_fields();
                }
                Err(recipients) => {
                    (reply.era, reply.revision) = (0, 0);
                    reply.peers = recipients.iter().map(ToString::to_string).collect();
                }
            }
        }
        Ok(Response::new(reply))
    }

    async fn follow(
        &self,
        request: Request<FollowRequest>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let request = request.into_inner();
        let follower = FollowerStream {
            changes: self.registry_copy.subscribe(),
            revision: Revision {
                era: request.era,
                number: request.revision,
            },
            is_first: true,
            _guard: self.registry_copy.count_follower(),
            registry_copy: self.registry_copy.clone(),
        };
        let updates = stream::unfold(follower, async |mut follower| {
            let update = follower.next_update().await?;
            Some((Ok(update), follower))
        });
        Ok(Response::new(updates.boxed()))
    }

    async fn gather(
        &self,
        request: Request<GatherRequest>,
    ) -> Result<Response<Self::GatherStream>, Status> {
        let subquery = Subquery::try_from(request.into_inner())?;
        let results = self.subqueries.start(subquery);
        let results = results.map_err(Status::failed_precondition)?;
        let results = results.map(|partial| Ok(GatheredParts::from(partial)));
        Ok(Response::new(results.boxed()))
    }

    async fn relay(
        &self,
        request: Request<RelayRequest>,
    ) -> Result<Response<Self::RelayStream>, Status> {
        let request = RelayedRequest::try_from(request.into_inner())?;
        let response = self.relays.handle(request);
        let response = response.map_err(Status::failed_precondition)?;
        let replies = stream::once(response).map(|response| Ok(RelayReply::from(response)));
        Ok(Response::new(replies.boxed()))
    }

    async fn relay_with_key(
        &self,
        request: Request<RelayRequest>,
    ) -> Result<Response<Self::RelayWithKeyStream>, Status> {
        let request = RelayedRequest::try_from(request.into_inner())?;
        let response = self.organisations.handle_with_key(request);
        let response = response.map_err(Status::failed_precondition)?;
        let replies = stream::once(response).map(|response| Ok(RelayReply::from(response)));
        Ok(Response::new(replies.boxed()))
    }

    async fn prove_current(
        &self,
        _request: Request<ProofRequest>,
    ) -> Result<Response<ProofReply>, Status> {
        let proof = self.organisations.prove_current();
        Ok(Response::new(organisations::encode_proof(proof)))
    }

    async fn take_quota(
        &self,
        request: Request<QuotaRequest>,
    ) -> Result<Response<QuotaReply>, Status> {
        let (host, claims) = organisations::decode_claims(request.into_inner());
        let grants = self.organisations.take_quota(&host, claims);
        Ok(Response::new(organisations::encode_grants(&grants)))
    }

    async fn place(
        &self,
        request: Request<PlacementRequest>,
    ) -> Result<Response<Self::PlaceStream>, Status> {
        let decision = self.placements.place(request.into_inner().into());
        let decision = decision.map_err(Status::failed_precondition)?;
        let replies = stream::once(decision).map(|decision| Ok(PlacementReply::from(decision)));
        Ok(Response::new(replies.boxed()))
    }

    async fn end_placement(
        &self,
        request: Request<WirePlacementEnd>,
    ) -> Result<Response<PlacementEnded>, Status> {
        self.placements.end_place(request.into_inner().into());
        Ok(Response::new(PlacementEnded {}))
    }

    async fn report_rollouts(
        &self,
        request: Request<WireReport>,
    ) -> Result<Response<RolloutReply>, Status> {
        let report = rollouts::decode_report(request.into_inner());
        let directives = self.rollouts.record_report(report);
        Ok(Response::new(rollouts::encode_directives(directives)))
    }

    async fn share_limits(
        &self,
        request: Request<LimitsRequest>,
    ) -> Result<Response<LimitsReply>, Status> {
        let (host, claims) = limits::decode_claims(request.into_inner());
        let shares = self.limits.share_limits(&host, claims);
        Ok(Response::new(limits::encode_shares(&shares)))
    }
}

/// The updates that this host sends to one follower.
struct FollowerStream {
    registry_copy: RegistryCopy,
    changes: watch::Receiver<()>,
    /// Revision that the follower has.
    revision: Revision,
    is_first: bool,
    _guard: FollowerGuard,
}

impl FollowerStream {
    /// Returns the next update within [`UPDATE_INTERVAL`], with no entries when nothing
    /// changed; `None` when this host is stopping.
    async fn next_update(&mut self) -> Option<WireUpdate> {
        self.changes.mark_unchanged();
        let is_first = std::mem::take(&mut self.is_first);
        let mut missing = self.registry_copy.changes_since(self.revision);
        if matches!(missing, MissingChanges::Nothing) && !is_first {
            // An update is sent in both cases: after a change and when the interval has
            // passed.
            let _ = timeout(UPDATE_INTERVAL, self.changes.changed()).await;
            missing = self.registry_copy.changes_since(self.revision);
        }
        if self.registry_copy.is_stopping() {
            return None;
        }
        let sync_status = self.registry_copy.sync_status(Millis::now());
        let mut update = WireUpdate {
            age_ms: millis(sync_status.age),
            doubt_ms: millis(sync_status.suspect_left),
            ..WireUpdate::default()
        };
        match missing {
            MissingChanges::Nothing => {}
            // Only the first batch: the later ones follow in the next updates.
            MissingChanges::Changes(batches) => {
                if let Some(batch) = batches.first() {
                    self.revision = batch.revision;
                    (update.entries, update.packed) = batch.entries.encoded().clone().into_fields();
                }
            }
            MissingChanges::All(state) => {
                self.revision = state.revision;
                update.whole = true;
                (update.entries, update.packed) = state.entries.encoded().clone().into_fields();
            }
        }
        update.revision = self.revision.number;
        update.era = self.revision.era;
        Some(update)
    }
}

/// Returns the entries of a message, which are in `plain` or, compressed, in `packed`.
fn decode_entries(plain: Vec<ChangedEntry>, packed: &[u8]) -> Result<Vec<Entry>, Status> {
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

/// Serves the calls of other hosts until `stop`.
///
/// # Errors
///
/// Fails when the server ends before `stop`.
pub async fn serve<P, L, R, O, Q, V>(
    listener: TcpListener,
    service: FleetService<P, L, R, O, Q, V>,
    stop: CancellationToken,
) -> Result<(), tonic::transport::Error>
where
    P: SubqueryService,
    L: LimitService,
    R: RelayService,
    O: OrganisationService,
    Q: PlacementService,
    V: RolloutService,
{
    let service = FleetServer::new(service);
    let service = service
        .max_encoding_message_size(MAX_MESSAGE_BYTES)
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    Server::builder()
        .http2_keepalive_interval(Some(KEEPALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEPALIVE_INTERVAL))
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, stop.cancelled_owned())
        .await
}

/// Fetches the registry state of the host at `address`. It has entries only when it is
/// newer than `revision`, for which the host waits up to `wait`; its revision is 0 when the
/// host is sending full copies to enough others, which it then names as peers. `own` is the
/// address of this host's service, which the host names to others in turn.
///
/// # Errors
///
/// Fails when the host does not reply in time or the entries can't be decoded.
pub async fn fetch_state(
    address: SocketAddr,
    revision: Revision,
    wait: Duration,
    own: Option<SocketAddr>,
) -> Result<RegistryState, Status> {
    let mut client = connect(endpoint(address)?.timeout(REPLY_TIMEOUT)).await?;
    let request = SnapshotRequest {
        revision: revision.number,
        era: revision.era,
        wait_ms: millis(wait),
        address: own.map(|own| own.to_string()).unwrap_or_default(),
    };
    let reply = client.snapshot(request).await?.into_inner();
    Ok(RegistryState {
        revision: Revision {
            era: reply.era,
            number: reply.revision,
        },
        entries: Arc::new(EncodedEntries::new(decode_entries(
            reply.entries,
            &reply.packed,
        )?)),
        peers: reply
            .peers
            .iter()
            .filter_map(|peer| peer.parse().ok())
            .collect(),
        sync_status: SyncStatus {
            age: Duration::from_millis(reply.age_ms),
            suspect_left: Duration::from_millis(reply.doubt_ms),
        },
    })
}

/// Fetches the whole registry state from one of `seeds`, or of the hosts that they name
/// instead, and returns it with the address of its source; `None` when none of them sends it
/// in time. `own` is the address of this host's service.
pub async fn initial_sync(
    seeds: &[SocketAddr],
    own: Option<SocketAddr>,
) -> Option<(SocketAddr, RegistryState)> {
    let sync = async {
        // Hosts that have just received a full copy, as named by the last host.
        let mut recipients: Vec<SocketAddr> = Vec::new();
        loop {
            let address = match recipients.choose(&mut rand::rng()) {
                Some(recipient) => *recipient,
                None => *seeds.choose(&mut rand::rng())?,
            };
            match fetch_state(address, Revision::default(), INITIAL_STATE_WAIT, own).await {
                Ok(state) if !state.revision.is_initial() => return Some((address, state)),
                Ok(state) => {
                    recipients = state.peers;
                    recipients.retain(|recipient| Some(*recipient) != own);
                }
                // The host may still be starting.
                Err(_) => {
                    recipients.clear();
                    sleep(INITIAL_SYNC_RETRY_DELAY).await;
                }
            }
        }
    };
    timeout(INITIAL_SYNC_TIMEOUT, sync).await.ok().flatten()
}

/// Subscribes to the updates after `revision` from the host at `address`.
///
/// # Errors
///
/// Fails when the host does not reply in time.
pub async fn subscribe(address: SocketAddr, revision: Revision) -> Result<UpdateStream, Status> {
    let mut client = connect(endpoint(address)?).await?;
    let request = FollowRequest {
        revision: revision.number,
        era: revision.era,
    };
    let response = timeout(REPLY_TIMEOUT, client.follow(request)).await;
    let updates =
        response.map_err(|Elapsed { .. }| Status::deadline_exceeded("no reply in time"))??;
    Ok(UpdateStream(updates.into_inner()))
}

fn endpoint(address: SocketAddr) -> Result<Endpoint, Status> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| Status::internal(error.to_string()))?;
    Ok(endpoint.connect_timeout(REPLY_TIMEOUT))
}

async fn connect(endpoint: Endpoint) -> Result<FleetClient<Channel>, Status> {
    let channel = endpoint.connect().await;
    let channel = channel.map_err(|error| Status::unavailable(error.to_string()))?;
    Ok(FleetClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES))
}
