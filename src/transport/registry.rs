//! The registry: the platform's key-value store, in which leaves and entry hosts register
//! and operators store routes.

use {
    crate::{
        collections::Name,
        state::{
            revision::{Lease, Revision},
            rollouts::{Driver, RolloutChange, Stage},
            roster::{Member, RosterChange},
            routes::RouteTable,
            suspects::{CrashChange, Reports},
        },
    },
    bytes::Bytes,
    std::{fmt, future::Future, time::Duration},
};

/// A stored entry; only the platform's adapter decodes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: Name,
    /// Value; `None` when the entry was removed.
    pub value: Option<Bytes>,
}

/// Entries that a read or a watch returned.
#[derive(Clone, Debug, Default)]
pub struct RegistryUpdate {
    /// The entries, in the order of their changes.
    pub entries: Vec<Entry>,
    /// Revision up to which no change is missing.
    pub revision: Revision,
}

/// Decoded entries.
#[derive(Clone, Debug, Default)]
pub struct DecodedEntries {
    /// The newest routes among the entries.
    pub routes: Option<RouteTable>,
    /// Whether the entries have routes, newer than these, that can't be read at all.
    pub has_unread_routes: bool,
    /// Changes of leaves, domains and entry hosts, in order.
    pub roster_changes: Vec<RosterChange>,
    /// Reports of leaves that ended under a request, in order.
    pub crash_changes: Vec<CrashChange>,
    /// Changes of rollouts, in order.
    pub rollout_changes: Vec<RolloutChange>,
    /// Key and reason of each entry that can't be decoded.
    pub unreadable: Vec<String>,
}

impl DecodedEntries {
    /// Adds later changes.
    pub fn extend(&mut self, later: Self) {
        self.has_unread_routes =
            later.has_unread_routes || (self.has_unread_routes && later.routes.is_none());
        self.routes = later.routes.or(self.routes.take());
        self.roster_changes.extend(later.roster_changes);
        self.crash_changes.extend(later.crash_changes);
        self.rollout_changes.extend(later.rollout_changes);
        self.unreadable.extend(later.unreadable);
    }
}

/// How old the result of a read may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadConsistency {
    /// Some seconds.
    Stale,
    /// As current as the call.
    Current,
}

/// Why a call to the registry failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegistryError {
    /// The registry no longer has the requested changes; the caller must read everything.
    Compacted,
    /// The lease has ended.
    LeaseExpired,
    /// The registry was restored from an older copy, into this era, since it gave out the
    /// lease: the lease may be another client's.
    Restored(u64),
    /// No response, or one that can't be decoded; a write may have taken effect.
    Unreachable(String),
    /// The registry rejected the call with this HTTP status; nothing was done.
    Rejected(u16),
}

impl fmt::Display for RegistryError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compacted => {
                formatter.write_str("the registry no longer has the requested changes")
            }
            Self::Restored(era) => write!(formatter, "the registry was restored, into era {era}"),
            Self::LeaseExpired => formatter.write_str("the lease has ended"),
            Self::Unreachable(reason) => write!(formatter, "no response: {reason}"),
            Self::Rejected(status) => write!(formatter, "rejected with status {status}"),
        }
    }
}

impl std::error::Error for RegistryError {}

/// The result of a write that depends on what the registry has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConditionalWrite {
    /// It was made.
    Written {
        /// Revision of the written entries.
        revision: u64,
        /// Era of the registry.
        era: u64,
    },
    /// It was not made: the registry has other entries.
    Conflict {
        /// The driver of rollouts, with the revision of its entry.
        driver: Option<(Driver, u64)>,
        /// The stage that was to be replaced, with the revision of its entry.
        stage: Option<(Stage, u64)>,
    },
}

/// A write of the driver of rollouts.
#[derive(Clone, Copy, Debug)]
pub struct StageWrite<'a> {
    /// The stage, from which the status that operators read follows.
    pub stage: &'a Stage,
    /// Revision of the driver's entry.
    pub claim: u64,
    /// Revision of the stage's entry that this one replaces; 0 if there is none.
    pub replaces: u64,
}

/// The calls that an entry host makes to the registry.
pub trait Registry: Send + Sync + 'static {
    /// Decodes entries.
    fn decode(&self, entries: &[Entry]) -> DecodedEntries;

    /// Reads all entries, in several calls with `call_timeout` for each. With
    /// [`ReadConsistency::Stale`] the result may be seconds old, at a fraction of the cost; a
    /// watch from its revision returns the later changes.
    fn read_all(
        &self,
        consistency: ReadConsistency,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<RegistryUpdate, RegistryError>> + Send;

    /// Waits up to `wait` for changes after `revision`; returns as soon as there are any, and
    /// fails without a reply within `call_timeout`. The revision of the result is of another era
    /// when the registry was restored: then the changes don't continue from `revision`.
    fn watch(
        &self,
        revision: Revision,
        wait: Duration,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<RegistryUpdate, RegistryError>> + Send;

    /// Returns the changes of the routes after `revision` as of the call, without a wait, like
    /// [`watch`](Self::watch).
    fn watch_routes(
        &self,
        revision: Revision,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<RegistryUpdate, RegistryError>> + Send;

    /// Returns, within `call_timeout`, whether there are more entry hosts than one page of
    /// a read lists. The result may be seconds old.
    fn has_many_hosts(
        &self,
        call_timeout: Duration,
    ) -> impl Future<Output = Result<bool, RegistryError>> + Send;

    /// Makes the cheapest call, to check whether the registry is available.
    fn probe(&self) -> impl Future<Output = Result<(), RegistryError>> + Send;

    /// Grants a lease that ends after `ttl` without a renewal.
    fn grant_lease(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<Lease, RegistryError>> + Send;

    /// Registers this host: writes its entry, which names its lease, under that lease. Returns
    /// the era of the registry. A call without a reply may take effect later.
    fn register(&self, member: &Member) -> impl Future<Output = Result<u64, RegistryError>> + Send;

    /// Adds and withdraws reports of leaves that ended under a request. Returns the era of the
    /// registry. A call without a reply may take effect later.
    fn report_crashes(
        &self,
        reports: &Reports,
    ) -> impl Future<Output = Result<u64, RegistryError>> + Send;

    /// Renews the lease with the id of `lease`; returns the era of the registry.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<u64, RegistryError>> + Send;

    /// Makes a host the driver of rollouts, under its lease, if there is none. A call without a
    /// reply may take effect later.
    fn claim_rollouts(
        &self,
        driver: &Driver,
    ) -> impl Future<Output = Result<ConditionalWrite, RegistryError>> + Send;

    /// Ends the claim of the driver whose entry has the revision `claim`.
    fn release_rollouts(
        &self,
        claim: u64,
    ) -> impl Future<Output = Result<ConditionalWrite, RegistryError>> + Send;

    /// Writes the stage of a rollout and its status, if the driver and the stage before are still
    /// those that the write names. A call without a reply may take effect later if they are.
    fn write_stage(
        &self,
        write: StageWrite<'_>,
    ) -> impl Future<Output = Result<ConditionalWrite, RegistryError>> + Send;
}
