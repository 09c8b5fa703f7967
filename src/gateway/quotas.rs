//! Quotas of organisations: takes requests of this host's callers from their allocators, and
//! grants those of the quotas that this host allocates.

use {
    self::{
        callers::{Callers, Waiting},
        claim::{Claimed, claim},
    },
    super::{
        Gateway,
        view::{View, lock},
    },
    crate::{
        clock::Millis,
        collections::{Map, Name},
        policy::quota::{self, PartFacts, Patience, Refusal},
        state::{
            organisations::{Organisation, Quota, QuotaRule},
            quota_allocator::{HostPlace, QuotaAllocator},
        },
        transport::fleet::{QuotaClaim, QuotaGrant},
    },
    std::{
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout_at},
};

mod callers;
mod claim;

/// Most requests that one claim may ask for.
const MAX_CLAIM: u32 = 64;

/// Time for the result of a claim to reach the requests that wait for it.
const REPLY_GRACE: Duration = Duration::from_millis(5);

/// Most claims that one call may hold.
const MAX_CLAIMS: usize = 16;

/// The quotas that this host's callers use, and those that it allocates.
#[derive(Default)]
pub struct Quotas {
    allocator: Mutex<QuotaAllocator>,
    /// Callers by organisation.
    callers: Mutex<Map<Name, Callers>>,
    /// Until when hosts that did not answer are asked last.
    silent: Mutex<Map<Name, Instant>>,
}

/// A request that needs a part of its organisation's quota.
#[derive(Clone, Copy, Debug)]
pub struct QuotaFacts {
    /// Latency objective of its route.
    pub objective: Duration,
    /// Time left until its deadline.
    pub left: Duration,
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaVerdict {
    /// It may.
    Admitted,
    /// It may not, and the caller should come back after some time.
    Refused(Refusal),
}

/// How a request's quota was decided, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaOutcome {
    /// An allocator or the reserve granted it.
    Granted,
    /// The quota is used up.
    Denied,
    /// The quota was used up a moment ago; nobody was asked.
    Remembered,
    /// Nobody answered.
    Unanswered,
}

impl QuotaOutcome {
    /// Returns the name that metrics use.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Granted => "granted",
            Self::Denied => "denied",
            Self::Remembered => "remembered",
            Self::Unanswered => "unanswered",
        }
    }
}

/// Returns whether a request of `organisation` may be sent; waits for its turn if it has to.
pub async fn admit(
    gateway: &Arc<Gateway>,
    organisation: &Organisation,
    facts: &QuotaFacts,
) -> QuotaVerdict {
    let (Some(_), Some(quota)) = (gateway.settings.quota_rule, organisation.quota) else {
        return QuotaVerdict::Admitted;
    };
    let patience = quota::patience(facts.objective, facts.left);
    let now = Instant::now();
    let name = &organisation.name;
    if let Some(wait) = gateway.quotas.remembered_denial(name, quota, now) {
        gateway
            .metrics
            .organisations
            .record_quota(QuotaOutcome::Remembered);
        return QuotaVerdict::Refused(Refusal::OverQuota(wait));
    }
    let verdict = wait_for_turn(gateway, name, quota, patience, now).await;
    gateway.metrics.organisations.record_quota(match verdict {
        Ok(_) => QuotaOutcome::Granted,
        Err(Refusal::OverQuota(_)) => QuotaOutcome::Denied,
        Err(Refusal::Unknown(_)) => QuotaOutcome::Unanswered,
    });
    match verdict {
        Ok(wait) => {
            if !wait.is_zero() {
                sleep(wait).await;
            }
            QuotaVerdict::Admitted
        }
        Err(refusal) => QuotaVerdict::Refused(refusal),
    }
}

/// Waits with the organisation's other requests of this host for the next claim, and returns the
/// time after which the request may be sent.
async fn wait_for_turn(
    gateway: &Arc<Gateway>,
    name: &Name,
    quota: Quota,
    patience: Patience,
    now: Instant,
) -> Result<Duration, Refusal> {
    let (waiting, answer) = Waiting::new(patience);
    let is_first = {
        let mut callers = lock(&gateway.quotas.callers);
        callers.entry(name.clone()).or_default().add(waiting)
    };
    if is_first {
        tokio::spawn(claim_for_waiting(Arc::clone(gateway), name.clone(), quota));
    }
    match timeout_at((now + patience.total + REPLY_GRACE).into(), answer).await {
        Ok(Ok(verdict)) => verdict,
        // No claim ended in time, or it was broken off.
        Ok(Err(_)) | Err(_) => Err(quota::refusal(&[])),
    }
}

/// Makes claims for requests of `organisation` until none waits.
async fn claim_for_waiting(gateway: Arc<Gateway>, organisation: Name, quota: Quota) {
    let ending = EndOfClaims(&gateway, &organisation);
    loop {
        let batch = ending.next_batch();
        let Some(patience) = batch
            .iter()
            .map(|waiting| waiting.patience)
            .min_by_key(|patience| patience.total)
        else {
            return;
        };
        let wanted = u32::try_from(batch.len()).unwrap_or(MAX_CLAIM);
        let view = gateway.view();
        let claimed = claim(&gateway, &view, &organisation, wanted, &patience).await;
        gateway
            .quotas
            .apply(&gateway, &organisation, quota, batch, claimed);
    }
}

/// Ends the claims of an organisation, also after a panic.
struct EndOfClaims<'a>(&'a Gateway, &'a Name);

impl EndOfClaims<'_> {
    /// Returns the requests that wait; after none, the next one starts the claims again.
    fn next_batch(&self) -> Vec<Waiting> {
        let mut callers = lock(&self.0.quotas.callers);
        let callers = callers.get_mut(self.1);
        callers.map_or_else(Vec::new, |callers| callers.next_batch(MAX_CLAIM as usize))
    }
}

impl Drop for EndOfClaims<'_> {
    fn drop(&mut self) {
        if std::thread::panicking()
            && let Some(callers) = lock(&self.0.quotas.callers).get_mut(self.1)
        {
            callers.reset();
        }
    }
}

impl Quotas {
    /// Records the hosts of a new view, and forgets organisations that it doesn't have.
    pub fn record_view(&self, own: &str, view: &View, now: Instant) {
        let hosts = view.helpers.places();
        let role_of =
            |organisation: &str, hosts: &[HostPlace]| quota::role(organisation, own, hosts);
        let mut allocator = lock(&self.allocator);
        allocator.record_hosts(hosts.collect(), role_of, now);
        let Some(routes) = &view.routes else {
            return;
        };
        allocator.retain(|organisation| routes.organisations.get(organisation).is_some());
        drop(allocator);
        lock(&self.callers).retain(|organisation, callers| {
            callers.is_claiming() || routes.organisations.get(organisation).is_some()
        });
        lock(&self.silent).retain(|_, until| now < *until);
    }

    /// Returns the time after which a caller should come back whose organisation was over its
    /// quota a moment ago; `None` if an allocator has to be asked.
    fn remembered_denial(
        &self,
        organisation: &Name,
        quota: Quota,
        now: Instant,
    ) -> Option<Duration> {
        let mut callers = lock(&self.callers);
        callers.get_mut(organisation)?.remembered_denial(quota, now)
    }

    /// Tells the requests in `batch` what their claim got.
    fn apply(
        &self,
        gateway: &Gateway,
        organisation: &Name,
        quota: Quota,
        batch: Vec<Waiting>,
        claimed: Claimed,
    ) {
        let now = Instant::now();
        let mut grants = claimed.grants.into_iter().peekable();
        let mut refused: u32 = 0;
        for waiting in batch {
            let verdict = match grants.peek() {
                Some(wait) => Ok(*wait),
                None => Err(match quota::refusal(&claimed.replies) {
                    Refusal::OverQuota(wait) => {
                        Refusal::OverQuota(quota::retry_after(wait, refused, quota))
                    }
                    unknown @ Refusal::Unknown(_) => unknown,
                }),
            };
            // The grant of a caller that has left goes to the next one.
            match (waiting.tell(verdict), verdict) {
                (true, Ok(_)) => drop(grants.next()),
                (_, Err(_)) => refused += 1,
                (false, Ok(_)) => {}
            }
        }
        let mut all = lock(&self.callers);
        let Some(callers) = all.get_mut(organisation) else {
            return;
        };
        match quota::refusal(&claimed.replies) {
            Refusal::OverQuota(wait) if refused > 0 => {
                callers.record_denial(gateway, organisation, quota, wait, refused, now);
            }
            _ if claimed.is_granted => callers.record_grant(gateway, organisation, now),
            _ => {}
        }
    }

    /// Returns whether a host that did not answer a moment ago should be asked last.
    fn is_silent(&self, host: &str, now: Instant) -> bool {
        lock(&self.silent)
            .get(host)
            .is_some_and(|until| now < *until)
    }

    /// Records that a host did not answer; returns whether it did before.
    fn record_silence(&self, host: &Name, now: Instant) -> bool {
        let until = now + quota::SILENT_TIME;
        let before = lock(&self.silent).insert(host.clone(), until);
        // It is asked now and then: one that never answers is news once.
        before.is_none_or(|before| now.saturating_duration_since(before) > 10 * quota::SILENT_TIME)
    }
}

impl Gateway {
    /// Grants requests of `organisation` from this host's part of its quota; `None` if it has
    /// none to grant at the moment.
    fn grant_part(
        &self,
        view: &View,
        rule: QuotaRule,
        organisation: &Name,
        requests: u32,
        max_wait: Duration,
        now: Instant,
    ) -> Option<QuotaGrant> {
        let routes = view.routes.as_ref()?;
        let Some(quota) = routes.organisations.get(organisation)?.quota else {
            return Some(QuotaGrant {
                requests,
                wait: Duration::ZERO,
            });
        };
        let copy_age = self.registry_copy.sync_status(Millis::now()).age;
        let role_of = |hosts: &[HostPlace]| quota::role(organisation, &self.settings.id, hosts);
        let mut allocator = lock(&self.quotas.allocator);
        let tenure = allocator.tenure(role_of, quota::SETTLE_TIME, now)?;
        let part = quota::part(&PartFacts {
            quota,
            rule,
            role: tenure.role,
            authority: quota::authority(tenure.is_settled, copy_age),
            hosts: allocator.hosts().len(),
        })?;
        let taken = allocator.take(organisation, tenure, part, requests, max_wait, now);
        drop(allocator);
        self.metrics
            .organisations
            .record_quota_grant(taken.tokens, requests - taken.tokens);
        Some(QuotaGrant {
            requests: taken.tokens,
            wait: taken.wait,
        })
    }

    /// Returns what `claims` of another host get; empty if this host can't grant all of them.
    #[must_use]
    pub fn take_quota(&self, claims: &[QuotaClaim]) -> Vec<QuotaGrant> {
        let Some(rule) = self.settings.quota_rule else {
            return Vec::new();
        };
        let view = self.view();
        let now = Instant::now();
        let grants = claims.iter().take(MAX_CLAIMS).map(|claim| {
            let requests = claim.requests.min(MAX_CLAIM);
            self.grant_part(
                &view,
                rule,
                &claim.organisation,
                requests,
                claim.max_wait,
                now,
            )
        });
        grants.collect::<Option<Vec<_>>>().unwrap_or_default()
    }
}
