//! Whether this host reaches a service over new connections.
//!
//! A host can be partitioned from leaves while connections that are open live on, and new ones
//! hang, or are accepted on the way and then carry nothing. To this host that looks like leaves
//! that are slow. What tells the two apart is another host that gets a reply from the service
//! while this one gets none.

use {
    crate::{collections::Set, state::routes::Repeats},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
};

/// Time without a reply on any new connection, while attempts wait for one, after which another
/// host is asked.
const SILENCE_TIME: Duration = Duration::from_millis(400);

/// Time without an attempt after which an earlier silence tells nothing any more.
const MAX_GAP: Duration = Duration::from_secs(10);

/// Time between two requests with which other hosts are asked.
const TRIAL_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two attempts on a new connection while the service isn't reached over them.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Silent leaves that are needed, where there are as many: one may hang by itself.
const MIN_SILENT: usize = 2;

/// How an attempt on a new connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshOutcome {
    /// With a reply of the leaf.
    Replied,
    /// The connection was refused.
    Refused,
    /// Without any answer.
    Silent,
}

/// What this host knows of its new connections to the leaves of a service.
#[derive(Debug, Default)]
pub struct ServiceContact {
    /// Since when no attempt on a new connection has got a reply; `None` when none waits.
    silent_since: Option<Instant>,
    /// Leaves at which attempts have waited since then.
    silent: Set<SocketAddr>,
    in_flight: usize,
    /// When an attempt last started or ended.
    changed_at: Option<Instant>,
    /// When another host was last asked.
    tried_at: Option<Instant>,
    /// When the next new connection may be opened; `None` while the service is reached.
    probe_at: Option<Instant>,
}

impl ServiceContact {
    /// Returns whether nothing is known that matters.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.silent_since.is_none() && self.probe_at.is_none()
    }

    /// Returns whether new connections reach no leaf, though another host reaches some.
    #[must_use]
    pub fn is_severed(&self) -> bool {
        self.probe_at.is_some()
    }

    /// Returns whether an attempt may open a new connection. While none reaches a leaf, one request
    /// at a time finds out whether that has changed; one that may run once only would be lost.
    pub fn may_connect(&mut self, repeats: Repeats, now: Instant) -> bool {
        let Some(probe_at) = self.probe_at else {
            return true;
        };
        let is_probe = repeats == Repeats::Safe && now >= probe_at;
        if is_probe {
            self.probe_at = Some(now + PROBE_INTERVAL);
        }
        is_probe
    }

    /// Records that an attempt at `leaf` starts to open a connection.
    pub fn record_start(&mut self, leaf: SocketAddr, now: Instant) {
        let is_stale =
            |at: Instant| self.in_flight == 0 && now.saturating_duration_since(at) > MAX_GAP;
        if self.changed_at.is_none_or(is_stale) {
            self.silent_since = None;
            self.silent.clear();
        }
        self.silent_since.get_or_insert(now);
        self.silent.insert(leaf);
        self.in_flight += 1;
        self.changed_at = Some(now);
    }

    /// Records how such an attempt ended. Returns whether the service is reached again.
    pub fn record_end(&mut self, leaf: SocketAddr, outcome: FreshOutcome, now: Instant) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.changed_at = Some(now);
        match outcome {
            FreshOutcome::Replied => {
                self.silent_since = (self.in_flight > 0).then_some(now);
                self.silent.clear();
                self.probe_at.take().is_some()
            }
            FreshOutcome::Refused => {
                self.silent.remove(&leaf);
                if self.silent.is_empty() {
                    self.silent_since = None;
                }
                false
            }
            FreshOutcome::Silent => false,
        }
    }

    /// Returns when another host should be asked, if nothing is heard until then. The service has
    /// `leaves` leaves.
    #[must_use]
    pub fn trial_due(&self, leaves: usize) -> Option<Instant> {
        let since = self.silent_since?;
        let after_last = self.tried_at.map(|at| at + TRIAL_INTERVAL);
        let due = (since + SILENCE_TIME).max(after_last.unwrap_or(since));
        (self.is_silent(leaves) && !self.is_severed()).then_some(due)
    }

    /// Returns whether enough of the service's `leaves` leaves are silent to ask another host.
    #[must_use]
    pub fn is_silent(&self, leaves: usize) -> bool {
        self.silent_since.is_some() && self.silent.len() >= MIN_SILENT.min(leaves)
    }

    /// Records that another host is asked.
    pub fn record_trial(&mut self, now: Instant) {
        self.tried_at = Some(now);
    }

    /// Records that no other host reaches the service either: then it is looked for here again.
    pub fn record_down(&mut self) {
        self.probe_at = None;
        self.silent_since = None;
        self.silent.clear();
    }

    /// Records that a host that was asked at `asked_at` has got a reply from the service. Returns
    /// whether this host doesn't reach it from now on, and did before.
    pub fn record_reply_elsewhere(&mut self, asked_at: Instant, now: Instant) -> bool {
        let is_silent = self
            .silent_since
            .is_some_and(|since| since + SILENCE_TIME <= asked_at);
        if !is_silent || self.is_severed() {
            return false;
        }
        self.probe_at = Some(now + PROBE_INTERVAL);
        true
    }
}
