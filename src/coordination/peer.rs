//! One daemon's coordination state: membership, lease, ownership, configuration.
//!
//! [`Peer`] takes ticks and messages and returns [`Action`]s. Ownership of a leaf moves from
//! one daemon to another under these rules:
//!
//! - a daemon opens the gate of a leaf only while every other member either has
//!   the same member list and configuration, and so the same placement, and has
//!   nothing in flight at the leaf, or is fenced;
//! - a member is fenced once a majority of its witnesses have voted that its lease has
//!   lapsed and that they will not renew it;
//! - a member that stops releases its leaves by message, and counts as fenced when it has
//!   nothing in flight.

use {
    super::{
        acks::Acks,
        lease::{Holder, Witness},
        members::{Candidate, Change, MemberList},
        placement::Placement,
        rollout::Record,
    },
    crate::{
        clock::Millis,
        collections::{Map, Name, Set},
        protocol::message::{Digest, LeafWarmth, LeaseKey, MemberKey, Message, Suspect},
        state::{
            catalog::{Catalog, LeafEntry, LeafId},
            versions::ServiceRanges,
        },
    },
    bytes::Bytes,
    std::{sync::Arc, time::Duration},
};

mod fencing;
mod gossip;
mod ownership;
mod proposals;
mod renewals;
mod updates;

/// Time after its last digest for which a daemon that is not a member may route queries.
const GUEST_TTL: Duration = Duration::from_secs(10);

/// Opens and closes the gates of the leaves. Requests reach a leaf only through an open
/// gate.
pub trait Gates {
    /// Queues work for a leaf that this daemon is about to acquire.
    fn queue_requests(&self, leaf: LeafId);
    /// Opens the gate of a leaf.
    fn open(&self, leaf: &LeafEntry, warmth: Option<&LeafWarmth>);
    /// Closes the gate of a leaf and returns its warmup state, if known.
    fn close(&self, leaf: LeafId) -> Option<LeafWarmth>;
    /// Returns whether a request is in flight at a leaf.
    fn is_busy(&self, leaf: LeafId) -> bool;
    /// Returns those of `leaves` that are far slower than the others.
    fn slow_leaves(&self, leaves: &[&LeafEntry]) -> Vec<LeafId>;
    /// Returns the versions at `leaves`, by service.
    fn version_ranges(&self, leaves: &[&LeafEntry]) -> Vec<ServiceRanges>;
}

/// An effect that the daemon must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a message to a member.
    Send {
        /// The member's id.
        to: Name,
        /// The message.
        message: Message,
    },
    /// Write a change of the member list to the store.
    Propose(Change),
    /// A configuration revision is in force on this daemon.
    InForce(u64),
    /// Index versions at the leaves of an owner, as it reported them.
    Versions(Name, Vec<ServiceRanges>),
    /// Requests that crash targets, as a member reported them.
    Suspects(Vec<Suspect>),
    /// Slow leaves of an owner, as it reported them.
    SlowLeaves(Vec<LeafId>),
    /// Targets that the host list marks as leaving, as a member reported them.
    LeavingTargets(Vec<Name>),
    /// An event to log.
    Log(LogEvent),
}

/// An event to log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LogEvent {
    /// A new member list is in force.
    Epoch {
        /// Its epoch.
        epoch: u64,
        /// Its members.
        members: usize,
    },
    /// Number of leaves that this daemon acquired.
    Acquired(usize),
    /// Number of leaves that this daemon released.
    Released(usize),
    /// A member is fenced.
    Fenced(MemberKey),
    /// This daemon was fenced and joins again with a new term.
    FencedSelf,
    /// A configuration record from the store or a peer can't be unpacked or parsed.
    BadRecord(String),
}

/// The newest digest of one member.
#[derive(Clone, Debug)]
struct ReceivedDigest {
    digest: Digest,
    received_at: Millis,
}

/// Gossip that the other members have yet to receive from this daemon.
#[derive(Debug, Default)]
struct GossipState {
    /// Number of digests sent.
    turn: u64,
    /// Whether digests of others brought acknowledgements that are not relayed yet.
    has_relays: bool,
    /// Members whose digests lack acknowledgements that are known here.
    lacking: Set<Name>,
}

/// The state of a member as this daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberInfo {
    /// The member.
    pub key: MemberKey,
    /// Its failure domain.
    pub domain: Name,
    /// Latest epoch that it reported.
    pub epoch: u64,
    /// Latest revision that it reported.
    pub revision: u64,
    /// Number of its witnesses, itself included.
    pub witnesses: usize,
    /// Whether it reported that it holds its lease.
    pub leased: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Whether it is fenced.
    pub fenced: bool,
    /// Time since its last digest, milliseconds.
    pub silent_ms: u64,
}

/// One daemon's coordination state.
pub struct Peer {
    candidate: Candidate,
    lease: Duration,
    key: Option<MemberKey>,
    list: Arc<MemberList>,
    /// Time at which the list came into force.
    listed_at: Millis,
    /// Time at which the set of members last changed.
    changed_at: Millis,
    record: Record,
    record_value: Bytes,
    /// Revision and value of the record before this one.
    previous: Option<(u64, Bytes)>,
    catalog: Arc<Catalog>,
    holder: Holder,
    witness: Witness,
    digests: Map<MemberKey, ReceivedDigest>,
    acks: Acks,
    gossip: GossipState,
    guests: Map<Name, Millis>,
    fenced: Set<MemberKey>,
    votes: Map<LeaseKey, Set<MemberKey>>,
    placement: Arc<Placement>,
    excluded_members: Arc<Set<Name>>,
    open_leaves: Set<LeafId>,
    pending_leaves: Set<LeafId>,
    closing: Set<LeafId>,
    warmth: Map<LeafId, LeafWarmth>,
    versions: Vec<ServiceRanges>,
    slow: Vec<LeafId>,
    leaving_targets: Vec<Name>,
    leaving: bool,
    /// Terms under which this process has proposed to join.
    join_terms: Set<u64>,
    started_at: Millis,
    proposing: bool,
    /// Whether this daemon's digest has changed since it was last sent on a change.
    dirty: bool,
    renew_at: Millis,
    digest_at: Millis,
    check_at: Millis,
    broadcast_at: Millis,
    fence_at: Millis,
    propose_at: Millis,
    /// Position in the rotation of periodic digests.
    rotation: usize,
}

impl Peer {
    /// Returns the state of a daemon that starts at `now` without any list or configuration.
    #[must_use]
    pub fn new(candidate: Candidate, lease: Duration, now: Millis) -> Self {
        Self {
            holder: Holder::new(candidate.id.clone(), lease),
            candidate,
            lease,
            key: None,
            list: Arc::default(),
            listed_at: Millis(0),
            changed_at: Millis(0),
            record: Record::default(),
            record_value: Bytes::new(),
            previous: None,
            catalog: Arc::default(),
            witness: Witness::default(),
            digests: Map::default(),
            acks: Acks::default(),
            gossip: GossipState::default(),
            guests: Map::default(),
            fenced: Set::default(),
            votes: Map::default(),
            placement: Arc::default(),
            excluded_members: Arc::default(),
            open_leaves: Set::default(),
            pending_leaves: Set::default(),
            closing: Set::default(),
            warmth: Map::default(),
            versions: Vec::new(),
            slow: Vec::new(),
            leaving_targets: Vec::new(),
            leaving: false,
            join_terms: Set::default(),
            started_at: now,
            proposing: false,
            dirty: true,
            renew_at: Millis(0),
            digest_at: Millis(0),
            check_at: Millis(0),
            broadcast_at: Millis(0),
            fence_at: Millis(0),
            propose_at: Millis(0),
            rotation: 0,
        }
    }

    /// Returns this daemon's key, with term 0 while it is not a member.
    #[must_use]
    pub fn key(&self) -> MemberKey {
        self.key.clone().unwrap_or_else(|| MemberKey {
            id: self.candidate.id.clone(),
            term: 0,
        })
    }

    /// Returns the member list in force.
    #[must_use]
    pub fn list(&self) -> &Arc<MemberList> {
        &self.list
    }

    /// Returns the configuration record in force.
    #[must_use]
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Returns the catalog in force.
    #[must_use]
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Returns the placement in force.
    #[must_use]
    pub fn placement(&self) -> &Arc<Placement> {
        &self.placement
    }

    /// Returns the members that own no leaves because they are fenced or leaving.
    #[must_use]
    pub fn excluded_members(&self) -> &Arc<Set<Name>> {
        &self.excluded_members
    }

    /// Returns the leaves whose gates are open on this daemon.
    #[must_use]
    pub fn open_leaves(&self) -> &Set<LeafId> {
        &self.open_leaves
    }

    /// Returns the leaves that this daemon owns by placement but can't open safely yet.
    #[must_use]
    pub fn pending_leaves(&self) -> &Set<LeafId> {
        &self.pending_leaves
    }

    /// Returns the time until which this daemon may act as an owner.
    #[must_use]
    pub fn lease_until(&self) -> Millis {
        if self.key.is_none() {
            return Millis(0);
        }
        self.holder.until()
    }

    /// Returns whether this daemon accepts work from `from`: a member, or a daemon with
    /// term 0 that sent a digest in the last 10 s (`GUEST_TTL`).
    #[must_use]
    pub fn accepts_work_from(&self, from: &MemberKey, now: Millis) -> bool {
        self.list.get(from).is_some()
            || (from.term == 0
                && self
                    .guests
                    .get(&from.id)
                    .is_some_and(|digest_at| now.since(*digest_at) < GUEST_TTL))
    }

    /// Returns the state of every member.
    #[must_use]
    pub fn members(&self, now: Millis) -> Vec<MemberInfo> {
        let views = self.list.members.iter().map(|member| {
            let is_self = self.key.as_ref() == Some(&member.key);
            let own = ReceivedDigest {
                digest: self.digest(now),
                received_at: now,
            };
            let latest = if is_self {
                Some(&own)
            } else {
                self.digests.get(&member.key)
            };
            let digest = latest
                .map(|latest| latest.digest.clone())
                .unwrap_or_default();
            // An acknowledgement relayed by others may be newer than the last digest.
            let is_known = self.acks.has(&member.key);
            let (epoch, revision) = if is_known {
                (self.list.epoch, self.record.revision)
            } else {
                (digest.epoch, digest.revision)
            };
            MemberInfo {
                key: member.key.clone(),
                domain: member.domain.clone(),
                epoch,
                revision,
                witnesses: member.witnesses.len(),
                leased: digest.leased,
                leaving: digest.leaving,
                fenced: self.fenced.contains(&member.key),
                silent_ms: latest.map_or(u64::MAX, |latest| {
                    crate::clock::millis(now.since(latest.received_at))
                }),
            }
        });
        views.collect()
    }

    /// Runs the timers: renews the lease, requests fences, acquires and releases leaves,
    /// proposes changes of the member list and sends digests.
    pub fn tick(&mut self, now: Millis, gates: &impl Gates) -> Vec<Action> {
        let mut actions = Vec::new();
        self.renew_lease(now, &mut actions);
        self.request_fences(now, &mut actions);
        self.remove_closed(gates);
        self.acquire_leaves(now, gates, &mut actions);
        self.drop_old_round();
        self.propose_change(now, &mut actions);
        self.send_due_digests(now, gates, &mut actions);
        actions
    }

    /// Discards the lease and restarts the grants to others after the process was
    /// suspended: the state of leases and targets is unknown then.
    pub fn resume_after_suspension(&mut self, now: Millis) {
        self.holder.discard_grants();
        self.witness.restart_grants(now);
        self.renew_at = now;
    }

    /// Starts a planned stop: releases every leaf.
    pub fn start_stop(&mut self, now: Millis, gates: &impl Gates) -> Vec<Action> {
        let mut actions = Vec::new();
        self.leaving = true;
        self.update_placement(now, gates, &mut actions);
        self.dirty = true;
        actions.extend(self.tick(now, gates));
        actions
    }

    /// Returns whether a planned stop has released every leaf and the others were sent that.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.leaving && self.open_leaves.is_empty() && self.closing.is_empty() && !self.dirty
    }

    /// Sets the targets that the platform's host list marks as leaving.
    pub fn set_leaving_targets(&mut self, leaving: Vec<Name>) {
        self.dirty |= leaving != self.leaving_targets;
        self.leaving_targets = leaving;
    }

    /// Handles a message from `from`.
    pub fn handle_message(
        &mut self,
        from: &MemberKey,
        message: Message,
        now: Millis,
        gates: &impl Gates,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        match message {
            Message::Members(value) => {
                if let Ok(list) = MemberList::parse(&value) {
                    actions = self.apply_list(list, false, now, gates);
                }
            }
            Message::Document(packed) => {
                actions = self.apply_document(&from.id, &packed, now, gates);
            }
            Message::Pull(pull) => self.reply_to_pull(&from.id, pull, &mut actions),
            Message::Digest(digest) => self.apply_digest(from, digest, now, gates, &mut actions),
            Message::Quarantine(suspects) => actions.push(Action::Suspects(suspects)),
            // The remaining messages are accepted from members only.
            _ if self.list.get(from).is_none() => self.send_pull(&from.id, &mut actions),
            Message::Renew(renew) => self.reply_to_renewal(from, renew, now, &mut actions),
            Message::Granted(granted) => {
                self.holder.record_grant(from, granted.round, granted.sent);
            }
            Message::Refused(refused) => {
                self.apply_refusal(from, refused, now, gates, &mut actions);
            }
            Message::FenceAsk(lease) => self.send_fence_vote(from, lease, now, &mut actions),
            Message::FenceVote(vote) => self.count_fence_vote(from, vote, now, gates, &mut actions),
            Message::Fenced(members) => self.apply_fenced(&members, now, gates, &mut actions),
            Message::Warmth(leaves) => {
                for warmth in leaves {
                    self.warmth.insert(warmth.leaf, warmth);
                }
            }
        }
        actions
    }

    fn other_members(&self) -> impl Iterator<Item = &MemberKey> {
        let keys = self.list.members.iter().map(|member| &member.key);
        keys.filter(|key| self.key.as_ref() != Some(*key))
    }
}
