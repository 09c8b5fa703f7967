//! Which hosts divide the quota of an organisation, what each may grant, and what a host does
//! with their answers.
//!
//! Handles organisations whose quota binds all hosts together while most hosts see one of their
//! requests a minute: no share per host would be of use. Two hosts hold half of a quota each and
//! grant single requests. They are the same ones in the view of all hosts, but for moments in
//! which what they may grant together still keeps to the rule.

use {
    crate::{
        collections::{Name, hash},
        state::{
            organisations::{Quota, QuotaRule},
            quota_allocator::{HostPlace, Part, Role},
            quota_bucket::Refill,
        },
    },
    std::time::Duration,
};

/// Hosts that hold a part of a quota.
const ALLOCATORS: usize = 2;

/// Hosts that may grant requests of an organisation: its allocators and the reserve.
const GRANTERS: usize = ALLOCATORS + 1;

/// Time for which a host that becomes an allocator grants nothing: the change reaches all
/// hosts, the one before it included.
pub const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Age of a host's copy of the registry up to which all hosts know the same fleet. A host renews
/// its lease every two seconds.
const MAX_COPY_AGE: Duration = Duration::from_secs(3);

/// Age of the copy from which this host's entry may be gone: the lifetime of its lease.
const LEASE_TTL: Duration = Duration::from_secs(20);

/// Part of the overage that raises the rate of allocators; the rest covers requests that reach
/// leaves some time after their grant.
const OVERAGE_RATIO: f64 = 0.5;

/// Parts of the slack, for all allocators together: tokens beyond the burst, tokens with which
/// buckets start, and what they grant while others may have replaced them.
const DEPTH_RATIO: f64 = 0.25;
const START_RATIO: f64 = 0.25;
const ISOLATED_RATIO: f64 = 0.2;

/// Part of the slack that the reserve grants.
const RESERVE_RATIO: f64 = 0.2;

/// Fraction of the latency objective after which another host is asked as well, and its bounds:
/// two ways between hosts that are short of processor time, and what a caller would not wait.
const HEDGE_RATIO: f64 = 0.2;
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(10);
const MAX_HEDGE_DELAY: Duration = Duration::from_millis(100);

/// Fraction of the latency objective after which a request without an answer is rejected, and
/// its bounds.
const PATIENCE_RATIO: f64 = 0.5;
const MIN_PATIENCE: Duration = Duration::from_millis(40);
const MAX_PATIENCE: Duration = Duration::from_millis(400);

/// Fraction of the latency objective for which a request may wait for its turn.
const WAIT_RATIO: f64 = 0.1;

/// Time for which a host refuses requests after a denial without asking again. Denied callers
/// would otherwise cost two calls each; a quota that rises is felt after that time.
const MAX_DENIAL_TIME: Duration = Duration::from_millis(500);

/// Longest time after which a refused caller should come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Time after which a caller should come back that got no answer about its quota: hosts have
/// stopped asking first those that did not answer.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Time for which a host that did not answer is asked last.
pub const SILENT_TIME: Duration = Duration::from_secs(1);

/// Whether an allocator may grant its part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Authority {
    /// Another host had the role until a moment ago.
    Unsettled,
    /// All hosts know the same fleet.
    Whole,
    /// A host that has joined since may have the role as well.
    Halved,
    /// This host's entry may be gone.
    Isolated,
}

/// What decides how much a host may grant of a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartFacts {
    /// The quota.
    pub quota: Quota,
    /// How closely it is kept.
    pub rule: QuotaRule,
    /// The host's role.
    pub role: Role,
    /// Its authority.
    pub authority: Authority,
    /// Hosts of the fleet.
    pub hosts: usize,
}

/// How long a request waits for its quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// Time after which another host is asked as well.
    pub hedge_delay: Duration,
    /// Time after which the request is rejected.
    pub total: Duration,
    /// Longest time from a grant until it may be used.
    pub max_wait: Duration,
}

/// What a host that was asked for requests of a quota replied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It granted some.
    Granted,
    /// Its part is used up for this long.
    Denied(Duration),
    /// It did not answer, or has no part of the quota to grant at the moment.
    Unanswered,
}

/// Why a request may not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The quota is used up for this long.
    OverQuota(Duration),
    /// Nobody answered; the caller should come back after this time.
    Unknown(Duration),
}

/// Returns the hosts that may grant requests of `organisation`, with their roles, by rendezvous
/// hashing: the allocators, then the reserve. Each is in another failure domain than those before
/// it, where there is one.
#[must_use]
pub fn choose_granters<'a>(organisation: &str, hosts: &'a [HostPlace]) -> Vec<(&'a Name, Role)> {
    let seed = hash(organisation, 0);
    let mut chosen: Vec<&HostPlace> = Vec::with_capacity(GRANTERS);
    while chosen.len() < GRANTERS {
        let rank = |host: &&HostPlace| {
            let is_apart = chosen.iter().all(|other| other.domain != host.domain);
            (is_apart, hash(&host.id, seed))
        };
        let left = hosts.iter().filter(|host| !chosen.contains(host));
        let Some(best) = left.max_by_key(rank) else {
            break;
        };
        chosen.push(best);
    }
    let roles = chosen.into_iter().enumerate().map(|(place, host)| {
        let role = match place {
            0..ALLOCATORS => Role::Allocator,
            _ => Role::Reserve,
        };
        (&host.id, role)
    });
    roles.collect()
}

/// Returns the role of the host `own` for `organisation` among `hosts`.
#[must_use]
pub fn role(organisation: &str, own: &str, hosts: &[HostPlace]) -> Option<Role> {
    let mut granters = choose_granters(organisation, hosts).into_iter();
    let (_, role) = granters.find(|(id, _)| &***id == own)?;
    Some(role)
}

/// Returns the authority of a host whose role is settled or not, with a copy of the registry of
/// this age.
#[must_use]
pub fn authority(is_settled: bool, copy_age: Duration) -> Authority {
    match copy_age {
        _ if !is_settled => Authority::Unsettled,
        age if age <= MAX_COPY_AGE => Authority::Whole,
        age if age < LEASE_TTL => Authority::Halved,
        _ => Authority::Isolated,
    }
}

/// Returns what a host may grant of a quota; `None` for nothing at the moment.
#[must_use]
pub fn part(facts: &PartFacts) -> Option<Part> {
    let PartFacts { quota, rule, .. } = *facts;
    #[expect(clippy::cast_precision_loss, reason = "one or two")]
    let allocators = facts.hosts.clamp(1, ALLOCATORS) as f64;
    let window = rule.window.as_secs_f64();
    let rate = quota.rate * (1.0 + rule.overage * OVERAGE_RATIO) / allocators;
    // A bucket without room for one token would never grant any.
    let depth = ((quota.burst + rule.slack * DEPTH_RATIO) / allocators).max(1.0);
    // A part of the slack, half of it at once and half over a window.
    let slack_only = |slack: f64| Refill {
        rate: (slack / 2.0 / window).min(rate),
        depth: (slack / 2.0).min(depth),
    };
    let refill = match (facts.role, facts.authority) {
        (_, Authority::Unsettled) => return None,
        (Role::Reserve, _) => slack_only(rule.slack * RESERVE_RATIO),
        (Role::Allocator, Authority::Whole) => Refill { rate, depth },
        (Role::Allocator, Authority::Halved) => Refill {
            rate: rate / 2.0,
            depth: (depth / 2.0).max(1.0),
        },
        (Role::Allocator, Authority::Isolated) => {
            slack_only(rule.slack * ISOLATED_RATIO / allocators)
        }
    };
    let start = match facts.role {
        Role::Allocator => rule.slack * START_RATIO / allocators,
        Role::Reserve => 0.0,
    };
    (refill.rate > 0.0 && refill.depth >= 1.0).then_some(Part {
        refill,
        start: start.min(refill.depth),
    })
}

/// Returns how long a request waits, of which `left` remains and whose route has this latency
/// objective.
#[must_use]
pub fn patience(objective: Duration, left: Duration) -> Patience {
    let total = objective.mul_f64(PATIENCE_RATIO);
    let hedge_delay = objective.mul_f64(HEDGE_RATIO);
    Patience {
        hedge_delay: hedge_delay.clamp(MIN_HEDGE_DELAY, MAX_HEDGE_DELAY),
        total: total.clamp(MIN_PATIENCE, MAX_PATIENCE).min(left),
        max_wait: objective.mul_f64(WAIT_RATIO).min(left),
    }
}

/// Returns how long a claim waits for replies. `is_cut_off` tells that none of the hosts to ask
/// answered a moment ago: a refusal that comes at once lets the caller go elsewhere in time.
#[must_use]
pub fn claim_time(patience: &Patience, is_cut_off: bool) -> Duration {
    if is_cut_off {
        patience.hedge_delay.min(patience.total)
    } else {
        patience.total
    }
}

/// Returns the hosts that are asked for requests of a quota, in this order: this host, the other
/// allocators, the reserve, and last those that did not answer a moment ago. `prefers_second`
/// varies between requests, so that both allocators are used.
#[must_use]
pub fn ask_order<'a>(
    granters: &[(&'a Name, Role)],
    own: &str,
    is_silent: impl Fn(&str) -> bool,
    prefers_second: bool,
) -> Vec<(&'a Name, Role)> {
    let mut order = granters.to_vec();
    if prefers_second && order.len() >= ALLOCATORS {
        order.swap(0, ALLOCATORS - 1);
    }
    order.sort_by_key(|(id, role)| (is_silent(id), *role == Role::Reserve, &***id != own));
    order
}

/// Returns whether a host with this role is asked after `replies`. The reserve is not when the
/// allocators have nothing left: then the quota is used up.
#[must_use]
pub fn is_asked(role: Role, replies: &[Reply], hosts: usize) -> bool {
    let denied = replies
        .iter()
        .filter(|reply| matches!(reply, Reply::Denied(_)));
    role == Role::Allocator || denied.count() < hosts.min(ALLOCATORS)
}

/// Returns why a request is refused that got nothing in `replies`.
#[must_use]
pub fn refusal(replies: &[Reply]) -> Refusal {
    let waits = replies.iter().filter_map(|reply| match reply {
        Reply::Denied(wait) => Some(*wait),
        _ => None,
    });
    waits
        .min()
        .map_or(Refusal::Unknown(UNKNOWN_RETRY_AFTER), Refusal::OverQuota)
}

/// Returns for how long a host refuses requests without asking, after a denial for `wait`: no
/// longer than each allocator's next token takes, which would stay unused otherwise.
#[must_use]
pub fn denial_time(wait: Duration, quota: Quota) -> Duration {
    wait.min(MAX_DENIAL_TIME).min(spacing(2, quota))
}

/// Returns the time after which a caller should come back that this host refuses `place` places
/// after one that it told to come back after `wait`.
#[must_use]
pub fn retry_after(wait: Duration, place: u32, quota: Quota) -> Duration {
    wait.saturating_add(spacing(place, quota))
        .min(MAX_RETRY_AFTER)
}

/// Returns the time in which `requests` become free.
fn spacing(requests: u32, quota: Quota) -> Duration {
    let spacing = Duration::try_from_secs_f64(f64::from(requests) / quota.rate);
    spacing.unwrap_or(MAX_RETRY_AFTER)
}
