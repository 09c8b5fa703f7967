//! Which source a host syncs from: the registry or another host.
//!
//! Handles a large fleet: if each host watched the registry, each watch would return for
//! each change, and the calls to the registry would grow with the product of hosts and
//! changes. In each failure domain some hosts sync from the registry, and the others sync
//! from them. A host syncs from the registry again as soon as its source stops responding,
//! or falls behind while the registry responds to other hosts. While the registry responds
//! to no host, hosts that have the routes call it at growing intervals, and those that sync
//! from other hosts leave the calls to their sources.

use {
    crate::{
        clock::Millis,
        collections::{Map, Name, hash},
        state::roster::Member,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Hosts that a host may sync from, one at a time: if one fails, the other is available.
const SOURCES_PER_HOST: usize = 2;

/// Hosts of a domain per host that syncs from the registry. At the design load of 1.2
/// changes a second of 0.4 KB each, a source then sends about 7 KB a second, of the 10 KB a
/// second that control traffic may cost a host.
const HOSTS_PER_SOURCE: usize = 14;

/// Largest number of hosts of a domain that all sync from the registry: the cost of a few
/// more watches does not justify a second way to sync.
const MAX_DIRECT_HOSTS: usize = 6;

/// Time for which a source that stopped responding or fell behind is not used.
const SOURCE_BACKOFF: Duration = Duration::from_secs(10);

/// Age of a source's last registry response beyond which it may have missed a change. A
/// source with followers gets about two responses in this time.
const STALE_AGE: Duration = Duration::from_millis(1_200);

/// Time in which a source without earlier followers gets a new registry response: it calls
/// the registry at once, which takes some milliseconds, or some hundred if the registry is
/// slow.
const REFRESH_TIMEOUT: Duration = Duration::from_millis(600);

/// Largest age of another host's registry copy with which a starting host may begin instead
/// of reading everything itself. A host without followers gets a registry response every
/// two seconds.
const MAX_INITIAL_AGE: Duration = Duration::from_millis(2_500);

/// Delay after the first call without a registry response; doubled after each further one
/// in a row. The registry responds in some milliseconds, and all hosts share its rate
/// limits.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum number of doublings of [`RETRY_DELAY`]: registry changes must be in force some
/// seconds after the registry is available again.
const MAX_DELAY_DOUBLINGS: u32 = 3;

/// Delay between two watches, as a share of the time within which a change must take effect.
/// One watch then returns the changes of many leaves and hosts that start or stop together.
const WATCH_DELAY_RATIO: f64 = 0.16;

/// Largest share of that time that passes, in all, until a change is known of which the first
/// reply was lost.
const LOST_REPLY_RATIO: f64 = 0.98;

/// Shortest time for which a watch waits.
const MIN_WATCH_TIME: Duration = Duration::from_millis(500);

/// Longest time for which a watch waits.
const MAX_WATCH_TIME: Duration = Duration::from_secs(10);

/// Where a host gets registry updates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The registry itself.
    Registry,
    /// The host at this address.
    Host(SocketAddr),
}

/// What a short call has shown about the registry while a watch of it waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegistryContact {
    /// Whether the call got no response.
    pub is_lost: bool,
    /// Era of the registry in the last response; 0 before it.
    pub era: u64,
}

/// What becomes of a call to the registry after another one has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallInFlight {
    /// It goes on.
    Continues,
    /// It is cancelled as one without a response.
    Fails,
    /// It is made again: it started before the registry was available, or before it was
    /// restored, and may never end.
    Restarts,
}

/// Returns what becomes of a call that started after `before` was known, when another one
/// shows `contact`. `era` is the era of this host's copy.
#[must_use]
pub fn judge_call(before: RegistryContact, contact: RegistryContact, era: u64) -> CallInFlight {
    if contact.is_lost {
        CallInFlight::Fails
    } else if before.is_lost || contact.era > era {
        CallInFlight::Restarts
    } else {
        CallInFlight::Continues
    }
}

/// Backoff from sources that failed recently.
#[derive(Debug, Default)]
pub struct SourceBackoff {
    not_before: Map<SocketAddr, Millis>,
}

impl SourceBackoff {
    /// Records that a source stopped responding or fell behind.
    pub fn record_failure(&mut self, source: SocketAddr, now: Millis) {
        self.not_before.retain(|_, not_before| now < *not_before);
        self.not_before.insert(source, now.plus(SOURCE_BACKOFF));
    }

    fn is_active(&self, source: SocketAddr, now: Millis) -> bool {
        self.not_before
            .get(&source)
            .is_some_and(|not_before| now < *not_before)
    }
}

/// Returns the source of the host `own` in `domain`, given the fleet's `members`.
#[must_use]
pub fn choose_source<'a>(
    own: &Name,
    domain: &Name,
    members: impl Iterator<Item = &'a Member>,
    backoff: &SourceBackoff,
    now: Millis,
) -> Source {
    let mut hosts: Vec<&Member> = members.filter(|member| member.domain == *domain).collect();
    if hosts.len() <= MAX_DIRECT_HOSTS {
        return Source::Registry;
    }
    hosts.sort_by_key(|member| member.sort_key());
    let source_count = hosts.len().div_ceil(HOSTS_PER_SOURCE).max(SOURCES_PER_HOST);
    hosts.truncate(source_count);
    if hosts.iter().any(|member| member.id == *own) {
        return Source::Registry;
    }
    let seed = hash(own, 0);
    hosts.sort_by_key(|member| hash(&member.id, seed));
    hosts
        .into_iter()
        .take(SOURCES_PER_HOST)
        .find(|member| !backoff.is_active(member.address, now))
        .map_or(Source::Registry, |member| Source::Host(member.address))
}

/// Returns whether a source may have missed a change. Its last registry response is `age`
/// old, and this host has synced from it for `followed`.
#[must_use]
pub fn is_stale(age: Duration, followed: Duration) -> bool {
    age > STALE_AGE && followed > REFRESH_TIMEOUT
}

/// Returns whether this host leaves a source whose last registry response is `age` old,
/// when the registry responds to this host in `took`. A slow registry responds late to both
/// hosts, so `took` extends the limit.
#[must_use]
pub fn should_leave(age: Duration, took: Duration) -> bool {
    age > STALE_AGE + took * 2
}

/// Returns whether a starting host may begin with another host's registry copy of this age.
#[must_use]
pub fn is_recent(age: Duration) -> bool {
    age <= MAX_INITIAL_AGE
}

/// Returns the delay between two watches, when a change must take effect within
/// `apply_timeout`.
#[must_use]
pub fn watch_delay(apply_timeout: Duration) -> Duration {
    apply_timeout.mul_f64(WATCH_DELAY_RATIO)
}

/// Returns the time for which a watch waits for a change. A reply may be lost while its
/// connection stays open: the watch is given up `reply_timeout` after this time, and the change
/// must still take effect within `apply_timeout`.
#[must_use]
pub fn watch_time(apply_timeout: Duration, reply_timeout: Duration) -> Duration {
    let longest = apply_timeout.mul_f64(LOST_REPLY_RATIO);
    longest
        .saturating_sub(watch_delay(apply_timeout) + reply_timeout)
        .clamp(MIN_WATCH_TIME, MAX_WATCH_TIME)
}

/// Returns the delay after `failures` calls in a row without a registry response.
#[must_use]
pub fn retry_delay(failures: u32) -> Duration {
    RETRY_DELAY * 2_u32.pow(failures.saturating_sub(1).min(MAX_DELAY_DOUBLINGS))
}
