//! Coordination messages between daemons.

use {
    crate::{
        clock::Millis,
        collections::Name,
        coordination::rollout::PackedRecord,
        state::{
            catalog::LeafId,
            versions::{ServiceRanges, VersionRange},
        },
    },
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::fmt,
};

/// One membership of a daemon in the cluster, from its join to its removal.
///
/// The term rises with each join, so that a statement about an earlier membership is not
/// applied to a later one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MemberKey {
    /// Name from the daemon's settings.
    pub id: Name,
    /// Epoch at which the daemon joined; 0 for a daemon that has not joined.
    pub term: u64,
}

impl fmt::Display for MemberKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.id, self.term)
    }
}

/// A member's lease under one set of witnesses.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseKey {
    /// The member.
    pub member: MemberKey,
    /// Epoch at which the witnesses were chosen.
    pub round: u64,
}

/// A coordination message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// Asks a witness to extend the sender's lease.
    Renew(Renew),
    /// Reply of a witness that extends the lease.
    Granted(Granted),
    /// Reply of a witness that does not extend the lease.
    Refused(Refused),
    /// Asks another witness whether a member's lease has lapsed.
    FenceAsk(LeaseKey),
    /// Reply to a [`Message::FenceAsk`]. A witness that votes for the fence never renews the
    /// lease again.
    FenceVote(FenceVote),
    /// Members whose lease has lapsed and will never be renewed.
    Fenced(Vec<MemberKey>),
    /// State of the sender, sent as gossip.
    Digest(Digest),
    /// Asks for the member list and the configuration record where they are newer than the
    /// sender's.
    Pull(Pull),
    /// The member list in its stored form.
    Members(Bytes),
    /// A configuration record.
    Document(PackedRecord),
    /// Requests that crashed targets.
    Quarantine(Vec<Suspect>),
    /// Concurrency limits of leaves that the sender handed over to a new owner.
    Warmth(Vec<LeafWarmth>),
}

/// Asks a witness to extend the sender's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renew {
    /// Round of the lease.
    pub round: u64,
    /// Sender's monotonic clock at the time of sending.
    pub sent: Millis,
    /// Sender's epoch.
    pub epoch: u64,
    /// Sender's configuration revision.
    pub revision: u64,
}

/// Reply of a witness that extends the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Granted {
    /// Round of the lease.
    pub round: u64,
    /// The `sent` of the [`Renew`] that this replies to.
    pub sent: Millis,
}

/// Reply of a witness that does not extend the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Round of the lease.
    pub round: u64,
    /// True when this witness will never renew the lease again.
    pub fenced: bool,
}

/// Vote of a witness on whether to fence a member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FenceVote {
    /// The lease.
    pub lease: LeaseKey,
    /// True when this witness will never renew the lease again.
    pub fenced: bool,
}

/// State of a daemon, sent to other daemons as gossip.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Digest {
    /// Epoch of the member list in force at the sender.
    pub epoch: u64,
    /// Configuration revision in force at the sender.
    pub revision: u64,
    /// Leaves that moved to another owner and still have requests of the sender in flight.
    pub busy: Vec<LeafId>,
    /// Whether the sender holds its lease.
    pub leased: bool,
    /// Whether the sender is stopping and has released all leaves but the busy ones.
    pub leaving: bool,
    /// Index versions at the leaves that the sender owns.
    pub versions: Vec<ServiceRanges>,
    /// Members known to be fenced.
    pub fenced: Vec<MemberKey>,
    /// Targets that the platform's host list marks as leaving; empty from daemons that
    /// don't read the list.
    pub leaving_targets: Vec<Name>,
    /// Leaves of the sender that are far slower than its other leaves of the same service.
    pub slow: Vec<LeafId>,
    /// Sequence number, which rises with each digest of one membership.
    pub turn: u64,
    /// Bitmap over the places in the member list: the members known to have this epoch and
    /// revision.
    pub acks: Bytes,
    /// Leaves on which those members still have requests in flight.
    pub relayed: Vec<MemberBusy>,
}

/// Leaves that moved from a member to another owner and still have requests of the member in
/// flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberBusy {
    /// The member's place in the list of the digest's epoch.
    pub place: usize,
    /// `turn` of the member's own digest that listed the leaves.
    pub turn: u64,
    /// The leaves; empty once none has a request of the member in flight.
    pub leaves: Vec<LeafId>,
}

/// Epoch and revision that the sender has; it asks for newer ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pull {
    /// Sender's epoch.
    pub epoch: u64,
    /// Sender's configuration revision.
    pub revision: u64,
}

/// A request that crashed targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Hash of service and body.
    pub fingerprint: u64,
    /// Targets that crashed on it.
    pub targets: Vec<Name>,
}

/// Concurrency limit of a leaf, handed from one owner to the next. A cold leaf has a lower
/// limit than a warm one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeafWarmth {
    /// The leaf.
    pub leaf: LeafId,
    /// Incarnation of the leaf that the limit applies to.
    pub incarnation: Name,
    /// Requests that the previous owner allowed on the leaf at once.
    pub limit: u32,
}

/// Sub-requests of one query to leaves of one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Service to query.
    pub service: Name,
    /// Layout that the plan was made for.
    pub layout: u32,
    /// Sender's configuration revision.
    pub revision: u64,
    /// Sender's epoch.
    pub epoch: u64,
    /// Snapshot to read; 0 reads whichever one the leaf has.
    pub snapshot: u64,
    /// Deadline, milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Request id.
    pub request: Name,
    /// Hash of service and body.
    pub fingerprint: u64,
    /// Idempotency key, for requests that are not idempotent.
    pub key: Option<Name>,
    /// True when this batch is the canary: one leaf runs the request before the others get it.
    pub canary: bool,
    /// Caller's body.
    pub body: Bytes,
    /// Leaves to query.
    pub leaves: Vec<LeafId>,
}

/// Reply of one leaf to a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeafReply {
    /// The leaf.
    pub leaf: LeafId,
    /// Rows, or why there are none.
    pub outcome: Result<Rows, super::verdict::Failure>,
    /// Index versions at the leaf, as far as known.
    pub range: Option<VersionRange>,
    /// Time in the owner's queue, microseconds.
    pub queued_us: u32,
}

/// Rows of one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rows {
    /// Snapshot that they were read from.
    pub snapshot: u64,
    /// The rows as a JSON array.
    pub json: Bytes,
}
