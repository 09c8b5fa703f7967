//! What entry hosts tell each other: what the registry told them, for hosts that can't
//! read it themselves.

use {
    super::registry::Entry,
    crate::protocol::generated::{
        RegistryEntry, SnapshotReply, SnapshotRequest,
        fleet_client::FleetClient,
        fleet_server::{Fleet, FleetServer},
    },
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::net::TcpListener,
    tokio_util::sync::CancellationToken,
    tonic::{
        Request, Response, Status,
        transport::{Endpoint, Server, server::TcpIncoming},
    },
};

/// Time in which another host must answer: it stands in the same region.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// Largest snapshot, bytes: thousands of leaves with some hundred bytes each.
const SNAPSHOT_LIMIT: usize = 32 << 20;

/// What the registry told, up to a revision.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Revision up to which it goes; 0 before anything was heard.
    pub revision: u64,
    /// All entries that matter.
    pub entries: Vec<Entry>,
    /// Other entry hosts.
    pub peers: Vec<SocketAddr>,
}

/// The newest snapshot of this host.
#[derive(Clone, Debug, Default)]
pub struct Held {
    snapshot: Arc<Mutex<Arc<Snapshot>>>,
}

impl Held {
    /// Replaces the snapshot.
    pub fn set(&self, snapshot: Snapshot) {
        *self.snapshot.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(snapshot);
    }

    /// Returns the snapshot.
    #[must_use]
    pub fn get(&self) -> Arc<Snapshot> {
        let snapshot = self.snapshot.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&snapshot)
    }
}

#[tonic::async_trait]
impl Fleet for Held {
    async fn snapshot(
        &self,
        request: Request<SnapshotRequest>,
    ) -> Result<Response<SnapshotReply>, Status> {
        let held = self.get();
        let is_newer = held.revision > request.into_inner().revision;
        let entries = held.entries.iter().filter(|_| is_newer);
        Ok(Response::new(SnapshotReply {
            revision: held.revision,
            entries: entries.filter_map(to_wire).collect(),
            peers: held.peers.iter().map(ToString::to_string).collect(),
        }))
    }
}

fn to_wire(entry: &Entry) -> Option<RegistryEntry> {
    Some(RegistryEntry {
        key: entry.key.to_string(),
        value: entry.value.clone()?,
    })
}

/// Serves `held` to other hosts until `stop`.
///
/// # Errors
///
/// Fails when the server ends by itself.
pub async fn serve(
    listener: TcpListener,
    held: Held,
    stop: CancellationToken,
) -> Result<(), tonic::transport::Error> {
    let service = FleetServer::new(held).max_encoding_message_size(SNAPSHOT_LIMIT);
    Server::builder()
        .add_service(service)
        .serve_with_incoming_shutdown(TcpIncoming::from(listener), stop.cancelled_owned())
        .await
}

/// Asks the host at `address` for what it knows beyond `revision`.
///
/// # Errors
///
/// Fails when the host does not answer in time.
pub async fn ask(address: SocketAddr, revision: u64) -> Result<Snapshot, Status> {
    let channel = Endpoint::from_shared(format!("http://{address}"))
        .map_err(|error| Status::internal(error.to_string()))?
        .connect_timeout(ANSWER_TIME)
        .timeout(ANSWER_TIME)
        .connect()
        .await
        .map_err(|error| Status::unavailable(error.to_string()))?;
    let mut client = FleetClient::new(channel).max_decoding_message_size(SNAPSHOT_LIMIT);
    let reply = client.snapshot(SnapshotRequest { revision }).await?;
    let reply = reply.into_inner();
    let entries = reply.entries.into_iter().map(|entry| Entry {
        key: entry.key.into(),
        value: Some(entry.value),
    });
    Ok(Snapshot {
        revision: reply.revision,
        entries: entries.collect(),
        peers: reply
            .peers
            .iter()
            .filter_map(|peer| peer.parse().ok())
            .collect(),
    })
}
