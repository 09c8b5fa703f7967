//! An entry host that sends requests straight to leaves, on a platform whose leaves
//! register themselves in a key-value store (the registry).
//!
//! A request passes these modules, from the caller's listener to the response:
//!
//! 1. [`listener`] reads it from the caller, and [`caller_connection`] records what became of it;
//! 2. [`serve`] finds its route and rejects what can't be served;
//! 3. [`hedged_request`] sends it to leaves, hedges slow attempts with other leaves, and waits as
//!    [`policy`](crate::policy) decides;
//! 4. [`attempt`] makes one attempt at one leaf, over
//!    [`transport::leaf`](crate::transport::leaf);
//! 5. [`response`] builds the caller's response from the replies.
//!
//! [`quotas`] keeps to the quotas of organisations before a request is sent.
//!
//! Three modules watch what attempts show: [`crashes`] recognises requests under which leaves end,
//! [`leaf_reach`] whether this host reaches leaves, and [`service_reach`] whether it reaches those of
//! a service. Where it doesn't, [`relay`] and [`handover`] hand requests to other hosts.
//!
//! [`registry_sync`] syncs from the registry, or from another host that does, and publishes the
//! result as a [`View`]; [`registration`] keeps this host registered.

pub mod attempt;
pub mod authorization;
pub mod caller_connection;
pub mod copy_proof;
pub mod crash_check;
pub mod crashes;
pub mod gather;
pub mod handover;
pub mod hedged_request;
pub mod helpers;
pub mod host;
pub mod leaf_reach;
pub mod limits;
pub mod listener;
pub mod metrics;
pub mod organisations;
pub mod placement;
pub mod quotas;
pub mod registration;
pub mod registry_sync;
pub mod registry_view;
pub mod relay;
pub mod response;
pub mod rollouts;
pub mod serve;
pub mod service_reach;
pub mod settings;
pub mod subquery;
pub mod view;

use self::view::lock;

pub use self::{
    crashes::CrashRecords,
    leaf_reach::LeafReach,
    limits::LimitSharing,
    metrics::Metrics,
    placement::PlacementState,
    quotas::Quotas,
    rollouts::RolloutSharing,
    service_reach::ServiceReach,
    settings::{HostSettings, ReloadableSettings, RolloutRule},
    view::{CapacityLearning, LeafHandle, View},
};

pub use crate::state::organisations::QuotaRule;

use {
    crate::{
        clock::{BootTime, Millis, millis},
        policy::{
            shutdown::{LateRequest, StopSchedule},
            sync_source::{RegistryContact, Source},
        },
        protocol::dialect::Dialect,
        state::{
            copy_proof::CopyProofs, fleet_budget::BudgetShare, host_count::OwnCount,
            revision::Revision,
        },
        transport::{fleet::RegistryCopy, leaf::ReplyBuffers},
    },
    arc_swap::ArcSwap,
    eyre::Result,
    slog::{Logger, info},
    std::{
        net::SocketAddr,
        sync::{
            Arc, Mutex, MutexGuard,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, watch},
        time::sleep_until,
    },
    tokio_util::task::TaskTracker,
};

/// State that all requests of one host share.
pub struct Gateway {
    /// The host's settings at its start.
    pub settings: HostSettings,
    reloadable: ArcSwap<ReloadableSettings>,
    /// Header names.
    pub dialect: Dialect,
    /// Log.
    pub log: Logger,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Copy of the registry that other entry hosts may sync from.
    pub registry_copy: RegistryCopy,
    /// Bytes that are kept of the replies of leaves.
    pub reply_buffers: Arc<ReplyBuffers>,
    /// Rate limits of leaves that this host knows of or allocates.
    pub limits: LimitSharing,
    /// Quotas of organisations that this host's callers use or that it allocates.
    pub quotas: Quotas,
    /// Requests under which leaves ended.
    pub crashes: CrashRecords,
    /// Places at leaves that this host gives out, and hosts that gave none.
    pub placement: PlacementState,
    /// Rollouts that this host knows of or drives.
    pub rollouts: RolloutSharing,
    /// Whether this host reaches leaves.
    pub leaf_reach: LeafReach,
    /// Services that this host, or no host, reaches.
    pub service_reach: ServiceReach,
    /// What the last renewal of this host's lease has shown about the registry.
    pub registry_contact: watch::Sender<RegistryContact>,
    view: ArcSwap<View>,
    /// Times of the stop; `None` before it.
    stop_schedule: watch::Sender<Option<StopSchedule>>,
    /// Subqueries that this host runs for others.
    pub subqueries: TaskTracker,
    /// Time at which the view was last known to be current, milliseconds on this process's
    /// monotonic clock.
    synced_at: AtomicU64,
    /// What this host syncs from.
    source: Mutex<Source>,
    /// Whether the other hosts count this one.
    own_count: Mutex<OwnCount>,
    /// What proves this host's copy of the registry current.
    copy_proofs: Mutex<CopyProofs>,
    /// Since when the newest routes can't be read.
    unread_since: Mutex<Option<Instant>>,
    /// Whether the registry sync has failed and not published a view since.
    is_out_of_sync: AtomicBool,
    /// Notified when this host syncs from the registry again instead of from another host.
    pub registry_resumed: Notify,
}

impl Gateway {
    /// Returns a gateway with an empty view.
    ///
    /// # Errors
    ///
    /// Fails when two metrics have the same name.
    pub fn new(settings: HostSettings, dialect: Dialect, log: Logger) -> Result<Self> {
        let metrics = Metrics::new()?;
        Ok(Self {
            reloadable: ArcSwap::from_pointee(ReloadableSettings::of(&settings)),
            rollouts: RolloutSharing::new(settings.rollout_rule),
            reply_buffers: Arc::new(ReplyBuffers::new(settings.memory)),
            settings,
            dialect,
            log,
            metrics,
            registry_copy: RegistryCopy::default(),
            limits: LimitSharing::default(),
            quotas: Quotas::default(),
            crashes: CrashRecords::default(),
            placement: PlacementState::default(),
            leaf_reach: LeafReach::default(),
            service_reach: ServiceReach::default(),
            registry_contact: watch::Sender::default(),
            view: ArcSwap::default(),
            stop_schedule: watch::Sender::default(),
            subqueries: TaskTracker::new(),
            synced_at: AtomicU64::new(Millis::now().0),
            source: Mutex::new(Source::Registry),
            own_count: Mutex::default(),
            copy_proofs: Mutex::default(),
            unread_since: Mutex::default(),
            is_out_of_sync: AtomicBool::new(false),
            registry_resumed: Notify::new(),
        })
    }

    /// Returns the settings that can change while the host runs.
    #[must_use]
    pub fn reloaded(&self) -> Arc<ReloadableSettings> {
        self.reloadable.load_full()
    }

    /// Applies those of `settings` that can change while the host runs, and logs whether the
    /// others need a restart.
    pub fn reload(&self, settings: &HostSettings) {
        let now = ReloadableSettings::of(settings);
        let before = self.reloadable.swap(Arc::new(now.clone()));
        info!(self.log, "host: settings reloaded"; "changed" => *before != now,
            "seeds" => now.seeds.len(),
            "restart_needed" => !self.settings.can_reload(settings));
    }

    /// Returns the current view.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Records what was learned of the leaves in the metrics.
    pub fn record_learned_capacity(&self) {
        let now = Instant::now();
        let view = self.view();
        let leaves = view.services.values().flat_map(|service| &service.leaves);
        let learned: Vec<_> = leaves
            .filter_map(|leaf| leaf.learned_capacity(now))
            .collect();
        self.metrics.leaf_capacity.record(&learned);
    }

    /// Replaces the view for requests that start from now on.
    pub fn publish_view(&self, view: View) {
        if self.settings.quota_rule.is_some() {
            self.quotas
                .record_view(&self.settings.id, &view, Instant::now());
        }
        self.view.store(Arc::new(view));
        self.is_out_of_sync.store(false, Ordering::Relaxed);
    }

    /// Records that the registry sync has failed: the host isn't ready until the next view.
    pub fn record_failed_sync(&self) {
        self.is_out_of_sync.store(true, Ordering::Relaxed);
        // The next copy may start with older routes.
        *lock(&self.copy_proofs) = CopyProofs::default();
        self.metrics.failed_syncs.inc();
    }

    /// Records that the registry granted or renewed this host's lease at `at`.
    pub fn record_renewal(&self, at: Millis) {
        lock(&self.own_count).record_renewal(at);
    }

    /// Returns this host's share of a fleet retry budget of which the view states `share`: none
    /// while the other hosts may not count this one.
    #[must_use]
    pub fn budget_share(&self, share: BudgetShare) -> BudgetShare {
        if lock(&self.own_count).is_counted(Millis::now()) {
            share
        } else {
            BudgetShare::OtherHosts
        }
    }

    /// Records that the view was current at `at`.
    pub fn record_sync(&self, at: Millis) {
        self.synced_at.store(at.0, Ordering::Relaxed);
    }

    /// Records that another host, asked at `asked_at`, had no newer entries, and that the registry
    /// had answered it `age` before.
    pub fn record_confirmation(&self, asked_at: Millis, age: Duration) {
        let at = asked_at.0.saturating_sub(millis(age));
        self.registry_copy.record_contact(Millis(at));
    }

    /// Records the source that this host syncs from.
    pub fn record_source(&self, source: Source) {
        let is_follower = source != Source::Registry;
        let before = std::mem::replace(&mut *lock(&self.source), source);
        let was_follower = before != Source::Registry;
        self.metrics.follows_host.set(i64::from(is_follower));
        if was_follower && !is_follower {
            self.registry_resumed.notify_one();
        }
    }

    /// Returns whether this host syncs from another host.
    #[must_use]
    pub fn is_follower(&self) -> bool {
        self.source_address().is_some()
    }

    /// Returns the address of the host that this host syncs from; `None` when that is the registry.
    #[must_use]
    pub fn source_address(&self) -> Option<SocketAddr> {
        match *lock(&self.source) {
            Source::Registry => None,
            Source::Host(address) => Some(address),
        }
    }

    /// Returns the revision of this host's copy of the registry.
    #[must_use]
    pub fn copy_revision(&self) -> Revision {
        lock(&self.copy_proofs).copy()
    }

    /// Returns the age of the view: the time since the registry or another host last
    /// confirmed it.
    #[must_use]
    pub fn view_age(&self) -> Duration {
        Millis::now().since(Millis(self.synced_at.load(Ordering::Relaxed)))
    }

    /// Returns the time for which changes of the registry may be missing in a view that is loaded
    /// from now on; `None` when it is not known. Where withdrawn keys have a limit, only what is
    /// proven counts.
    #[must_use]
    pub fn copy_age(&self) -> Option<Duration> {
        let unread_since = *lock(&self.unread_since);
        let unread_age = unread_since.map_or(Duration::ZERO, |since| since.elapsed());
        let age = match self.settings.revocation_time {
            Some(_) => lock(&self.copy_proofs).age(BootTime::now()?)?,
            None => self.view_age(),
        };
        Some(age.max(unread_age))
    }

    /// Records whether the newest routes can't be read.
    pub fn record_unread_routes(&self, are_unread: bool) {
        let mut since = lock(&self.unread_since);
        *since = are_unread.then(|| since.unwrap_or_else(Instant::now));
        self.metrics.config.unread_routes.set(i64::from(are_unread));
    }

    /// Returns the time after which a withdrawn key is of no use; `None` where hosts rely on their
    /// copies. They don't while the newest routes can't be read.
    #[must_use]
    pub fn revocation_time(&self) -> Option<Duration> {
        let has_unread = lock(&self.unread_since).is_some();
        let settings = &self.settings;
        settings
            .revocation_time
            .or_else(|| has_unread.then_some(settings.apply_timeout))
    }

    /// Returns the state of the proofs of this host's copy of the registry.
    pub fn copy_proofs(&self) -> MutexGuard<'_, CopyProofs> {
        lock(&self.copy_proofs)
    }

    /// Returns whether the host is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stop_schedule.borrow().is_some()
    }

    /// Returns the time since the host was told to stop; `None` while it is not stopping.
    #[must_use]
    pub fn stopping_time(&self) -> Option<Duration> {
        let schedule = self.stop_schedule();
        schedule.map(|schedule| schedule.start.elapsed())
    }

    /// Returns the times of the stop; `None` while the host is not stopping.
    #[must_use]
    pub fn stop_schedule(&self) -> Option<StopSchedule> {
        *self.stop_schedule.borrow()
    }

    /// Marks the host as stopping: it is no longer ready, and its followers look for another
    /// source. Returns the times of the stop.
    pub fn stop(&self) -> StopSchedule {
        let schedule = StopSchedule::new(Instant::now(), self.reloaded().stop_timeout);
        self.stop_schedule.send_replace(Some(schedule));
        self.registry_copy.stop();
        schedule
    }

    /// Returns whether a request may be sent to a leaf now. While the host is stopping, it may
    /// only if it is expected to end in time.
    #[must_use]
    pub fn admits(&self, request: &LateRequest, now: Instant) -> bool {
        let schedule = self.stop_schedule();
        schedule.is_none_or(|schedule| schedule.admits(request, now))
    }

    /// Returns the earlier of `deadline` and the time at which a stopping host responds to all
    /// requests.
    #[must_use]
    pub fn limit_deadline(&self, deadline: Instant) -> Instant {
        let schedule = self.stop_schedule();
        schedule.map_or(deadline, |schedule| schedule.respond_by.min(deadline))
    }

    /// Waits until the host is stopping and must respond to all requests.
    pub async fn last_response_due(&self) {
        self.wait_in_stop(|schedule| schedule.respond_by).await;
    }

    /// Waits until the host is stopping and the stop time has ended.
    pub async fn stop_ended(&self) {
        self.wait_in_stop(|schedule| schedule.end).await;
    }

    /// Waits for a stop and the time in it that `time` returns.
    async fn wait_in_stop(&self, time: impl Fn(&StopSchedule) -> Instant) {
        let mut schedule = self.stop_schedule.subscribe();
        let until = match schedule.wait_for(Option::is_some).await {
            Ok(schedule) => schedule.as_ref().map(time),
            Err(_) => None,
        };
        match until {
            Some(until) => sleep_until(until.into()).await,
            None => std::future::pending().await,
        }
    }

    /// Returns whether callers with keys can be served: once the copy has been proven current, if
    /// that is needed.
    fn can_check_callers(&self, view: &View) -> bool {
        let routes = view.routes.as_ref();
        let need_keys = routes.is_some_and(|routes| routes.organisations.need_keys());
        !need_keys || self.copy_age().is_some()
    }

    /// Returns whether new callers are accepted: the host has routes and can check callers, its
    /// registry sync goes on, and it is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_out_of_sync = self.is_out_of_sync.load(Ordering::Relaxed);
        let view = self.view.load();
        !is_out_of_sync
            && !self.is_stopping()
            && view.routes.is_some()
            && self.can_check_callers(&view)
    }
}
