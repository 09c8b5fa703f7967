//! The calls to the registry, and which of them are made again.

use {
    super::{Availability, RegistrySync},
    crate::{
        clock::BootTime,
        policy::sync_source::{self, CallInFlight, RegistryContact},
        transport::registry::{ReadConsistency, Registry, RegistryError, RegistryUpdate},
    },
    slog::info,
    std::{pin::pin, time::Duration},
    tokio::sync::watch,
};

/// Time for which a watch waits for a change while the registry may be unavailable: short, so
/// that other hosts are queried soon. While it is unavailable, a call does not wait at all: a
/// host that was cut off must learn of a change within the seconds after the cut ends.
const UNKNOWN_WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a watch, in addition to the time for which it waits.
const WATCH_REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout of each call of a full read, and of a watch that does not wait. The registry answers in some milliseconds, and in
/// some hundred when it is slow.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// The same for a host without routes. It can't serve, so it accepts more calls to notice
/// sooner that a registry that hung is available again.
const START_READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Failed calls in a row after which a host without routes uses [`READ_TIMEOUT`] and waits
/// longer between calls: the registry may be slower than [`START_READ_TIMEOUT`].
const MAX_START_ATTEMPTS: u32 = 8;

/// An update of the registry.
pub(super) struct ProvenUpdate {
    pub(super) update: RegistryUpdate,
    /// When the call was sent, if the update has all changes that were confirmed before.
    pub(super) sent_at: Option<BootTime>,
}

impl<R: Registry> RegistrySync<R> {
    /// Reads the whole registry, or watches it for changes after the present revision.
    pub(super) async fn call_registry(
        &self,
        contacts: &mut watch::Receiver<RegistryContact>,
    ) -> Result<ProvenUpdate, RegistryError> {
        let mut is_repeated = false;
        loop {
            let before = *contacts.borrow_and_update();
            let sent_at = BootTime::now();
            let mut call = pin!(self.read_or_watch(is_repeated));
            let outcome = loop {
                tokio::select! {
                    result = &mut call => match result {
                        // A single lost reply does not show that the registry is unavailable.
                        Err(RegistryError::Unreachable(reason)) if self.may_repeat(is_repeated) => {
                            info!(self.gateway.log, "registry_sync: a watch got no reply; asking again";
                                "error" => reason);
                            is_repeated = true;
                            break CallInFlight::Restarts;
                        }
                        result => return result.map(|update| ProvenUpdate {
                            update,
                            sent_at: sent_at.filter(|_| self.is_current()),
                        }),
                    },
                    Ok(()) = contacts.changed() => {
                        let contact = *contacts.borrow_and_update();
                        let era = self.registry_view.revision().era;
                        match sync_source::judge_call(before, contact, era) {
                            CallInFlight::Continues => {}
                            outcome => break outcome,
                        }
                    }
                }
            };
            if outcome == CallInFlight::Fails {
                let reason = "another call had no answer".to_owned();
                return Err(RegistryError::Unreachable(reason));
            }
        }
    }

    /// Reads everything or watches. A watch that `is_repeated` does not wait.
    async fn read_or_watch(&self, is_repeated: bool) -> Result<RegistryUpdate, RegistryError> {
        let wait = match self.availability {
            _ if is_repeated => Duration::ZERO,
            Availability::Available => {
                sync_source::watch_time(self.gateway.settings.apply_timeout, WATCH_REPLY_TIMEOUT)
            }
            Availability::Unknown => UNKNOWN_WATCH_TIMEOUT,
            Availability::Unavailable => Duration::ZERO,
        };
        match self.revision {
            None => {
                self.registry
                    .read_all(self.consistency, self.read_timeout())
                    .await
            }
            Some(revision) if wait.is_zero() => {
                self.registry.watch(revision, wait, READ_TIMEOUT).await
            }
            Some(revision) => {
                self.registry
                    .watch(revision, wait, wait + WATCH_REPLY_TIMEOUT)
                    .await
            }
        }
    }

    /// Returns whether the next call returns all changes that were confirmed before it.
    fn is_current(&self) -> bool {
        self.revision.is_some() || self.consistency == ReadConsistency::Current
    }

    /// Returns whether a watch without a reply is made again before the registry counts as
    /// unavailable.
    fn may_repeat(&self, is_repeated: bool) -> bool {
        !is_repeated && self.revision.is_some() && self.availability != Availability::Unavailable
    }

    /// Returns whether the shorter timeout and delay of a host without routes apply.
    pub(super) fn is_starting(&self) -> bool {
        !self.registry_view.has_routes() && self.failures < MAX_START_ATTEMPTS
    }

    pub(super) fn read_timeout(&self) -> Duration {
        if self.is_starting() {
            START_READ_TIMEOUT
        } else {
            READ_TIMEOUT
        }
    }
}
