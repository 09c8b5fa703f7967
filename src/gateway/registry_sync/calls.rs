//! The calls to the registry, and which of them are made again.

use {
    super::{Availability, RegistrySync},
    crate::{
        policy::sync_source::{self, CallInFlight, RegistryContact},
        transport::registry::{Registry, RegistryError, RegistryUpdate},
    },
    std::{pin::pin, time::Duration},
    tokio::sync::watch,
};

/// Time for which a watch waits for a change. A registry that hangs with its connections
/// open is noticed sooner, by the renewals of this host's lease.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// The same while the registry may be unavailable: short, so that other hosts are queried
/// soon. While it is unavailable, a call does not wait at all: a host that was cut off must
/// learn of a change within the seconds after the cut ends.
const UNKNOWN_WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of each call of a full read. The registry answers in some milliseconds, and in
/// some hundred when it is slow.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// The same for a host without routes. It can't serve, so it accepts more calls to notice
/// sooner that a registry that hung is available again.
const START_READ_TIMEOUT: Duration = Duration::from_millis(400);

/// Failed calls in a row after which a host without routes uses [`READ_TIMEOUT`] and waits
/// longer between calls: the registry may be slower than [`START_READ_TIMEOUT`].
const MAX_START_ATTEMPTS: u32 = 8;

impl<R: Registry> RegistrySync<R> {
    /// Reads the whole registry, or watches it for changes after the present revision.
    pub(super) async fn call_registry(
        &self,
        contacts: &mut watch::Receiver<RegistryContact>,
    ) -> Result<RegistryUpdate, RegistryError> {
        loop {
            let before = *contacts.borrow_and_update();
            let mut call = pin!(self.read_or_watch());
            let outcome = loop {
                tokio::select! {
                    result = &mut call => return result,
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

    async fn read_or_watch(&self) -> Result<RegistryUpdate, RegistryError> {
        let wait = match self.availability {
            Availability::Available => WATCH_TIMEOUT,
            Availability::Unknown => UNKNOWN_WATCH_TIMEOUT,
            Availability::Unavailable => Duration::ZERO,
        };
        match self.revision {
            None => {
                self.registry
                    .read_all(self.consistency, self.read_timeout())
                    .await
            }
            Some(revision) => self.registry.watch(revision, wait).await,
        }
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
