//! Attempts of a request under which leaves have ended: one leaf at a time gets it.

use {
    super::{
        HedgedRequest,
        attempts::{ScheduledRetry, State},
    },
    crate::{
        gateway::{
            crashes::{Refusal, SuspectAttempt},
            metrics::AttemptReason,
        },
        protocol::verdict::{Cause, Failure},
    },
    std::time::{Duration, Instant},
};

/// Time after which a suspended attempt is tried again: about a reply of a fast leaf.
const SUSPENSION_TIME: Duration = Duration::from_millis(5);

impl HedgedRequest {
    /// Returns whether an attempt at the service `index` may start, with what must be kept until
    /// it has ended if the request is suspect.
    pub(super) fn admit_suspect(&self, index: usize) -> Result<Option<SuspectAttempt>, Refusal> {
        let Some(service) = &self.services[index].handle else {
            return Ok(None);
        };
        let is_suspect = self.gateway.is_suspect(&self.outgoing);
        // They started before the first leaf ended; a reply to one of them clears the request.
        if is_suspect && self.has_pending() {
            return Err(Refusal::Wait);
        }
        self.gateway.admit_suspect(&self.outgoing, &service.name)
    }

    /// Postpones an attempt, or fails its service if no leaf may get the request.
    pub(super) fn suspend_attempt(
        &mut self,
        index: usize,
        reason: AttemptReason,
        refusal: Refusal,
        now: Instant,
    ) {
        let service = &mut self.services[index];
        match refusal {
            Refusal::Wait => {
                let suspended = ScheduledRetry::Suspended(reason);
                service.retry = Some((now + SUSPENSION_TIME, suspended));
            }
            Refusal::Held => service.fail(Failure::not_run(Cause::Quarantined), None),
        }
    }

    fn has_pending(&self) -> bool {
        let open = self.services.iter();
        let open = open.filter(|service| matches!(service.state, State::Open));
        open.map(|service| service.pending.len()).sum::<usize>() > 0
    }
}
