//! The requests of one organisation at this host that wait for a claim, and its last denial.

use {
    super::super::Gateway,
    crate::{
        clock::millis,
        collections::Name,
        policy::quota::{self, Patience, Refusal},
        state::organisations::Quota,
    },
    slog::info,
    std::time::{Duration, Instant},
    tokio::sync::oneshot::{self, Receiver, Sender},
};

/// Time without a denial after which an organisation counts as within its quota again.
const OVER_QUOTA_TIME: Duration = Duration::from_secs(5);

/// A request that waits for a claim.
pub(super) struct Waiting {
    pub(super) patience: Patience,
    sender: Sender<Result<Duration, Refusal>>,
}

impl Waiting {
    pub(super) fn new(patience: Patience) -> (Self, Receiver<Result<Duration, Refusal>>) {
        let (sender, receiver) = oneshot::channel();
        (Self { patience, sender }, receiver)
    }

    /// Tells the request the verdict; returns false if it waits no longer.
    pub(super) fn tell(self, verdict: Result<Duration, Refusal>) -> bool {
        self.sender.send(verdict).is_ok()
    }
}

/// The requests of one organisation at this host.
#[derive(Default)]
pub(super) struct Callers {
    waiting: Vec<Waiting>,
    /// Whether a task makes claims for them.
    is_claiming: bool,
    denial: Option<Denial>,
    /// Since when the organisation has been over its quota, as seen here.
    over: Option<OverQuota>,
}

/// A denial that is remembered.
struct Denial {
    /// Until when requests are refused without asking.
    until: Instant,
    /// When a caller that was told first may come back.
    retry_at: Instant,
    /// Callers that were refused since.
    refused: u32,
}

struct OverQuota {
    since: Instant,
    last_denial: Instant,
    refused: u64,
}

impl Callers {
    /// Adds a request; returns whether claims have to be started.
    pub(super) fn add(&mut self, waiting: Waiting) -> bool {
        self.waiting.push(waiting);
        !std::mem::replace(&mut self.is_claiming, true)
    }

    /// Takes up to `most` requests that still wait; none ends the claims.
    pub(super) fn next_batch(&mut self, most: usize) -> Vec<Waiting> {
        self.waiting.retain(|waiting| !waiting.sender.is_closed());
        let count = self.waiting.len().min(most);
        self.is_claiming = count > 0;
        self.waiting.drain(..count).collect()
    }

    pub(super) fn is_claiming(&self) -> bool {
        self.is_claiming
    }

    /// Ends the claims; the requests that wait get no answer.
    pub(super) fn reset(&mut self) {
        self.waiting.clear();
        self.is_claiming = false;
    }

    pub(super) fn remembered_denial(&mut self, quota: Quota, now: Instant) -> Option<Duration> {
        let denial = self.denial.as_mut().filter(|denial| now < denial.until)?;
        let wait = denial.retry_at.saturating_duration_since(now);
        let wait = quota::retry_after(wait, denial.refused, quota);
        denial.refused = denial.refused.saturating_add(1);
        if let Some(over) = &mut self.over {
            over.last_denial = now;
            over.refused += 1;
        }
        Some(wait)
    }

    pub(super) fn record_denial(
        &mut self,
        gateway: &Gateway,
        organisation: &Name,
        quota: Quota,
        wait: Duration,
        refused: u32,
        now: Instant,
    ) {
        self.denial = Some(Denial {
            until: now + quota::denial_time(wait, quota),
            retry_at: now + wait,
            refused,
        });
        self.end_if_calm(gateway, organisation, now);
        let over = self.over.get_or_insert_with(|| {
            info!(gateway.log, "quotas: organisation is over its quota";
                "organisation" => &**organisation, "wait_ms" => millis(wait));
            OverQuota {
                since: now,
                last_denial: now,
                refused: 0,
            }
        });
        over.last_denial = now;
        over.refused += u64::from(refused);
    }

    pub(super) fn record_grant(&mut self, gateway: &Gateway, organisation: &Name, now: Instant) {
        self.denial = None;
        self.end_if_calm(gateway, organisation, now);
    }

    fn end_if_calm(&mut self, gateway: &Gateway, organisation: &Name, now: Instant) {
        let calm = self
            .over
            .take_if(|over| now.saturating_duration_since(over.last_denial) >= OVER_QUOTA_TIME);
        if let Some(over) = calm {
            info!(gateway.log, "quotas: organisation is within its quota again";
                "organisation" => &**organisation, "refused" => over.refused,
                "lasted_ms" => millis(over.last_denial.saturating_duration_since(over.since)));
        }
    }
}
