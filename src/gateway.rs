//! An entry host that sends to leaves direct, on a platform whose leaves register
//! themselves.
//!
//! A request on its way from the caller's listener to the answer passes:
//!
//! 1. [`listener`] reads it from the caller;
//! 2. [`serve`] finds its route and refuses what can't be served;
//! 3. [`race`] sends it to leaves, asks others beside late ones, and waits as
//!    [`policy`](crate::policy) decides;
//! 4. [`call`] is one send to one leaf, over [`transport::leaf`](crate::transport::leaf);
//! 5. [`answer`] makes the caller's response of the replies.
//!
//! [`upkeep`] follows the registry, or another host that does, and publishes what it tells
//! as a [`View`]; [`enlist`] keeps this host's own entry there.

pub mod answer;
pub mod call;
pub mod enlist;
pub mod gather;
pub mod helpers;
pub mod host;
pub mod known;
pub mod listener;
pub mod metrics;
pub mod piece;
pub mod race;
pub mod serve;
pub mod settings;
pub mod upkeep;
pub mod view;

pub use self::{
    metrics::Metrics,
    settings::{HostSettings, ReloadableSettings},
    view::{LeafHandle, View},
};

use {
    crate::{
        clock::Millis,
        policy::follow::Source,
        protocol::dialect::Dialect,
        transport::{fleet::Held, leaf::Reading},
    },
    arc_swap::ArcSwap,
    eyre::Result,
    slog::{Logger, info},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::Notify,
};

/// What all requests of one host share.
pub struct Gateway {
    /// The host's settings, as of its start.
    pub settings: HostSettings,
    reloaded: ArcSwap<ReloadableSettings>,
    /// Header names.
    pub dialect: Dialect,
    /// Log.
    pub log: Logger,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// What other entry hosts may learn from this one.
    pub held: Held,
    /// What is being read from leaves.
    pub reading: Reading,
    /// Told when a call to the registry had no answer, or the first one after that has.
    pub doubted: Notify,
    view: ArcSwap<View>,
    stopping: AtomicBool,
    /// As of when what is known holds, milliseconds of this process.
    heard: AtomicU64,
    /// Whether this host learns from another.
    following: AtomicBool,
    /// Told when this host goes back from another host to the registry.
    pub left_source: Notify,
}

impl Gateway {
    /// Returns a gateway that knows no routes yet.
    ///
    /// # Errors
    ///
    /// Fails when two metrics have one name.
    pub fn new(settings: HostSettings, dialect: Dialect, log: Logger) -> Result<Self> {
        let metrics = Metrics::new()?;
        Ok(Self {
            reloaded: ArcSwap::from_pointee(ReloadableSettings::of(&settings)),
            settings,
            dialect,
            log,
            metrics,
            held: Held::default(),
            reading: Reading::default(),
            doubted: Notify::new(),
            view: ArcSwap::default(),
            stopping: AtomicBool::new(false),
            heard: AtomicU64::new(Millis::now().0),
            following: AtomicBool::new(false),
            left_source: Notify::new(),
        })
    }

    /// Returns the settings that can change while the host runs.
    #[must_use]
    pub fn reloaded(&self) -> Arc<ReloadableSettings> {
        self.reloaded.load_full()
    }

    /// Puts settings in force that were read again, as far as they can change while the
    /// host runs.
    pub fn reload(&self, settings: &HostSettings) {
        let now = ReloadableSettings::of(settings);
        let before = self.reloaded.swap(Arc::new(now.clone()));
        info!(self.log, "host: settings read again"; "changed" => *before != now,
            "seeds" => now.seeds.len(),
            "restart_needed" => !self.settings.can_reload(settings));
    }

    /// Returns what is known now.
    #[must_use]
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Publishes what is known.
    pub fn publish(&self, view: View) {
        self.view.store(Arc::new(view));
    }

    /// Notes that what is known is as of `at`.
    pub fn note_heard(&self, at: Millis) {
        self.heard.store(at.0, Ordering::Relaxed);
    }

    /// Notes where this host learns what the registry tells.
    pub fn note_source(&self, source: Source) {
        let is_following = source != Source::Registry;
        let was_following = self.following.swap(is_following, Ordering::Relaxed);
        self.metrics.follows_host.set(i64::from(is_following));
        if was_following && !is_following {
            self.left_source.notify_one();
        }
    }

    /// Returns whether this host learns from another.
    #[must_use]
    pub fn is_following(&self) -> bool {
        self.following.load(Ordering::Relaxed)
    }

    /// Returns the age of what is known: the time since the registry, or another host,
    /// was heard.
    #[must_use]
    pub fn age(&self) -> Duration {
        Millis::now().since(Millis(self.heard.load(Ordering::Relaxed)))
    }

    /// Returns whether the host is about to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Notes that the host is about to stop: it is no longer ready.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
        self.held.stop();
    }

    /// Returns whether new callers are welcome.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.view.load().routes.is_some()
    }
}
