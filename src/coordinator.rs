//! Carries out the decisions of a daemon's coordination state: sends its messages, writes
//! its proposals, publishes its view.

use {
    crate::{
        clock::Millis,
        collections::{Name, Set},
        coordination::{
            members::{Candidate, Change, MemberList},
            peer::{Action, Gates, LogEvent, Peer},
            rollout::Record,
        },
        daemon::shared::{Shared, View},
        protocol::message::{LeafWarmth, MemberKey, Message, Suspect},
        settings::Routing,
        state::{
            catalog::{LeafEntry, LeafId},
            versions::ServiceRanges,
        },
        timer::{TICK_INTERVAL, Timer},
        transport::{peers::Peers, store::Store},
    },
    bytes::Bytes,
    slog::{info, warn},
    std::sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
    tokio::sync::{broadcast, mpsc},
};

pub mod probe;
pub mod status;
pub mod store_sync;
pub mod submit;

/// Key by which the few daemons that send the known suspects to new members are chosen.
const NEWCOMERS: &str = "newcomers";

/// Applied revisions by which a slow subscriber may lag.
const REVISION_CAPACITY: usize = 1_024;

/// One daemon's coordination state, with what carries out its decisions.
pub struct Coordinator<S> {
    shared: Arc<Shared>,
    peers: Arc<Peers>,
    store: Arc<S>,
    peer: Mutex<Peer>,
    proposals: mpsc::UnboundedSender<Change>,
    revisions: broadcast::Sender<u64>,
}

/// The gates of the leaves, which the coordination state opens and closes.
struct LeafGates<'a>(&'a Shared);

impl Gates for LeafGates<'_> {
    fn queue_requests(&self, leaf: LeafId) {
        self.0.leaves.queue_requests(leaf);
    }

    fn open(&self, leaf: &LeafEntry, warmth: Option<&LeafWarmth>) {
        self.0.leaves.open(leaf, warmth);
    }

    fn close(&self, leaf: LeafId) -> Option<LeafWarmth> {
        self.0.targets.forget(leaf);
        self.0.leaves.close(leaf)
    }

    fn is_busy(&self, leaf: LeafId) -> bool {
        self.0.leaves.is_busy(leaf)
    }

    fn slow_leaves(&self, leaves: &[&LeafEntry]) -> Vec<LeafId> {
        self.0.leaves.slow_leaves(leaves)
    }

    fn version_ranges(&self, leaves: &[&LeafEntry]) -> Vec<ServiceRanges> {
        self.0.leaves.version_ranges(leaves.iter().copied())
    }
}

impl<S: Store> Coordinator<S> {
    /// Returns the coordinator of a daemon. [`Coordinator::run_proposals`] carries out the
    /// proposals.
    #[must_use]
    pub fn new(
        shared: Arc<Shared>,
        peers: Arc<Peers>,
        store: Arc<S>,
        proposals: mpsc::UnboundedSender<Change>,
    ) -> Self {
        let settings = &shared.settings;
        let candidate = Candidate {
            id: settings.id.clone(),
            address: settings.reachable_address(),
            domain: settings.domain.clone(),
        };
        let peer = Peer::new(candidate, settings.lease(), Millis::now());
        Self {
            shared,
            peers,
            store,
            peer: Mutex::new(peer),
            proposals,
            revisions: broadcast::Sender::new(REVISION_CAPACITY),
        }
    }

    /// Returns a subscription to the revisions that come into force at this daemon.
    #[must_use]
    pub fn revisions(&self) -> broadcast::Receiver<u64> {
        self.revisions.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, Peer> {
        self.peer.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Runs one decision and carries out its actions. Messages for `asker` are returned
    /// instead of sent.
    fn apply_decision(
        &self,
        asker: Option<&Name>,
        decide: impl FnOnce(&mut Peer, Millis, &LeafGates<'_>) -> Vec<Action>,
    ) -> Vec<Message> {
        let gates = LeafGates(&self.shared);
        let mut peer = self.lock();
        let actions = decide(&mut peer, Millis::now(), &gates);
        self.publish_view(&peer);
        drop(peer);
        let mut replies = Vec::new();
        for action in actions {
            match action {
                Action::Send { to, message } if asker == Some(&to) => replies.push(message),
                action => self.carry_out(action),
            }
        }
        replies
    }

    fn carry_out(&self, action: Action) {
        match action {
            Action::Send { to, message } => self.peers.post(&to, message),
            Action::Propose(change) => {
                // The receiver lives as long as the daemon.
                let _ = self.proposals.send(change);
            }
            Action::InForce(revision) => {
                self.shared.metrics.revision.set(gauge(revision));
                info!(self.shared.log, "rollout: revision in force"; "revision" => revision);
                let _ = self.revisions.send(revision);
            }
            Action::Versions(owner, ranges) => {
                self.shared
                    .versions
                    .record_report(&owner, &ranges, Millis::now());
            }
            Action::Suspects(suspects) => {
                self.shared.quarantine.apply_suspects(&suspects);
            }
            Action::SlowLeaves(leaves) => self.shared.health.record_slow_leaves(&leaves),
            Action::LeavingTargets(targets) => self.set_leaving(targets),
            Action::Log(event) => self.log_event(&event),
        }
    }

    /// Replaces the targets that are leaving according to the host list.
    fn set_leaving(&self, targets: Vec<Name>) {
        self.shared
            .leaving_targets
            .store(Arc::new(targets.into_iter().collect()));
    }

    fn log_event(&self, event: &LogEvent) {
        let log = &self.shared.log;
        match event {
            LogEvent::Epoch { epoch, members } => {
                self.shared.metrics.epoch.set(gauge(*epoch));
                info!(log, "members: new list in force"; "epoch" => epoch, "members" => members);
                self.apply_new_members();
            }
            LogEvent::Acquired(leaves) => {
                info!(log, "owner: leaves taken over"; "leaves" => leaves);
            }
            LogEvent::Released(leaves) => info!(log, "owner: leaves given up"; "leaves" => leaves),
            LogEvent::Fenced(member) => warn!(log, "members: member fenced"; "member" => %member),
            LogEvent::FencedSelf => {
                warn!(log, "members: fenced by the other members; joining again");
            }
            LogEvent::BadRecord(error) => warn!(log, "rollout: record rejected"; "error" => error),
        }
    }

    /// Applies a new member list: closes the outboxes of removed members, and sends the
    /// requests that crash targets to all members, since new ones don't have them.
    fn apply_new_members(&self) {
        let view = self.shared.view();
        let members = view.list.members.iter();
        self.peers
            .keep_only(&members.map(|member| member.key.id.clone()).collect());
        if self.is_watcher(NEWCOMERS) {
            self.broadcast_suspects(&self.shared.quarantine.suspects());
        }
    }

    fn broadcast_suspects(&self, suspects: &[Suspect]) {
        let view = self.shared.view();
        let own = view.key.as_ref();
        let others = view.list.members.iter().map(|member| &member.key);
        for key in others.filter(|key| Some(*key) != own && !suspects.is_empty()) {
            let message = Message::Quarantine(suspects.to_vec());
            self.peers.post(&key.id, message);
        }
    }

    /// Publishes the state that queries need.
    fn publish_view(&self, peer: &Peer) {
        let metrics = &self.shared.metrics;
        self.shared.set_lease(peer.lease_until());
        metrics.owned.set(gauge(peer.open_leaves().len() as u64));
        metrics
            .pending
            .set(gauge(peer.pending_leaves().len() as u64));
        metrics.leased.set(i64::from(self.shared.is_leased()));
        let before = self.shared.view();
        let key = peer.key();
        let key = (key.term > 0).then_some(key);
        let is_same = before.key == key
            && Arc::ptr_eq(&before.list, peer.list())
            && Arc::ptr_eq(&before.placement, peer.placement())
            && Arc::ptr_eq(&before.excluded, peer.excluded_members())
            && Arc::ptr_eq(&before.catalog, peer.catalog());
        if is_same {
            return;
        }
        if self.shared.settings.routing == Routing::Direct {
            for leaf in peer.catalog().leaves.values() {
                self.shared.leaves.open(leaf, None);
            }
        }
        self.shared.set_view(View {
            key,
            list: Arc::clone(peer.list()),
            placement: Arc::clone(peer.placement()),
            excluded: Arc::clone(peer.excluded_members()),
            catalog: Arc::clone(peer.catalog()),
        });
    }

    /// Runs the decisions that are due at each tick, for as long as the timer runs.
    pub async fn run_ticks(self: Arc<Self>, timer: Timer) {
        let mut ticks = timer.subscribe(TICK_INTERVAL);
        while let Some(tick) = ticks.next_tick().await {
            if tick.was_frozen {
                self.handle_freeze();
            }
            self.apply_decision(None, |peer, now, gates| peer.tick(now, gates));
        }
    }

    /// Resets the state that is no longer valid after the process was frozen.
    fn handle_freeze(&self) {
        warn!(
            self.shared.log,
            "timer: the process was frozen; leases and the state of targets are unknown"
        );
        self.apply_decision(None, |peer, now, _| {
            peer.resume_after_suspension(now);
            Vec::new()
        });
        let view = self.shared.view();
        for leaf in view.catalog.leaves.values() {
            self.shared.leaves.reset_ramp(leaf);
        }
    }

    /// Processes messages and returns those for their sender.
    pub fn receive(&self, from: &MemberKey, messages: Vec<Message>) -> Vec<Message> {
        self.apply_decision(Some(&from.id), |peer, now, gates| {
            let handled = messages
                .into_iter()
                .flat_map(|message| peer.handle_message(from, message, now, gates));
            handled.collect()
        })
    }

    /// Processes messages that arrive as replies.
    pub async fn run_inbox(
        self: Arc<Self>,
        mut inbox: mpsc::UnboundedReceiver<(MemberKey, Vec<Message>)>,
    ) {
        while let Some((from, messages)) = inbox.recv().await {
            for message in self.receive(&from, messages) {
                self.peers.post(&from.id, message);
            }
        }
    }

    /// Sends each request that crashes targets to all other members.
    pub async fn run_suspects(self: Arc<Self>, mut suspects: mpsc::UnboundedReceiver<Suspect>) {
        while let Some(suspect) = suspects.recv().await {
            self.broadcast_suspects(&[suspect]);
        }
    }

    /// Returns whether this daemon runs batches of `from`.
    pub fn admits(&self, from: &MemberKey) -> bool {
        self.lock().accepts_work_from(from, Millis::now())
    }

    /// Applies a member list from the store.
    pub fn apply_list(&self, list: MemberList) {
        self.apply_decision(None, |peer, now, gates| {
            peer.apply_list(list, true, now, gates)
        });
    }

    /// Applies a configuration record from the store.
    pub fn apply_record(&self, value: &Bytes) {
        self.apply_decision(None, |peer, now, gates| {
            peer.apply_record(value, true, now, gates)
        });
    }

    /// Returns the configuration record in force at this daemon.
    pub fn record(&self) -> Record {
        self.lock().record().clone()
    }

    /// Starts a planned stop: every leaf is handed over to its next owner.
    pub fn leave(&self) {
        self.shared.ready.store(false, Ordering::Relaxed);
        self.apply_decision(None, |peer, now, gates| peer.start_stop(now, gates));
    }

    /// Returns whether all leaves have been released and all messages sent.
    #[must_use]
    pub fn has_left(&self) -> bool {
        self.lock().has_left() && self.peers.is_flushed()
    }

    /// Returns the ids of all members except the excluded ones, which are fenced or
    /// leaving.
    fn active_ids(&self) -> Vec<Name> {
        let view = self.shared.view();
        let excluded: &Set<Name> = &view.excluded;
        let ids = view.list.members.iter().map(|member| &member.key.id);
        ids.filter(|id| !excluded.contains(*id)).cloned().collect()
    }
}

fn gauge(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
