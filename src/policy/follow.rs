//! Whom a host learns from: the registry itself, or another host that follows it.
//!
//! Load it answers: a large fleet, in which each host's own watch would be answered for
//! each change, so that calls to the registry grow with the product of hosts and changes.
//! In each failure domain some hosts follow the registry, and the others follow them. A
//! host whose source falls silent, or falls behind while the registry answers others, goes
//! back to the registry at once. While it answers nobody, hosts that know the routes ask it
//! ever less often, and those that follow others leave that to these.

use {
    crate::{
        clock::Millis,
        collections::{Map, Name, hash},
        state::roster::Member,
    },
    std::{net::SocketAddr, time::Duration},
};

/// Sources that a host may follow, one after the other: one may fail, and the other is at
/// hand.
const CHOICES: usize = 2;

/// Hosts of a domain for each that follows the registry: a source then sends about 7 KB a
/// second at the target's 1.2 changes a second of 0.4 KB each, of the 10 KB that control may
/// cost a host.
const HOSTS_EACH: usize = 14;

/// Hosts of a domain up to which all follow the registry: what a few more watches cost is
/// less than a second way of learning is worth.
const FEW: usize = 6;

/// Time for which a source that fell silent or behind is not followed.
const SHUN_TIME: Duration = Duration::from_secs(10);

/// Time since the registry answered a source beyond which it may have missed a change. A
/// source that is followed hears from the registry about twice in this time.
const STALE_TIME: Duration = Duration::from_millis(1_200);

/// Time in which a source that nobody followed before hears from the registry again: it
/// asks at once, and the answer takes some milliseconds, some hundred when it is slow.
const SETTLE_TIME: Duration = Duration::from_millis(600);

/// Age of another host's word from the registry up to which a starting host begins with it
/// and need not read everything itself. A host that nobody follows hears from the registry
/// each two seconds.
const FRESH_TIME: Duration = Duration::from_millis(2_500);

/// Pause after the first call that the registry did not answer; doubled after each further
/// one in a row. The registry answers in some milliseconds, and all hosts share its rates.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Doublings of [`FIRST_PAUSE`] at most: what the registry tells must be in force some
/// seconds after its return.
const PAUSE_DOUBLINGS: u32 = 3;

/// Where a host learns what the registry tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From the registry itself.
    Registry,
    /// From the host at this address.
    Host(SocketAddr),
}

/// Sources that failed lately.
#[derive(Debug, Default)]
pub struct Shunned {
    until: Map<SocketAddr, Millis>,
}

impl Shunned {
    /// Notes that a source fell silent or behind.
    pub fn note(&mut self, source: SocketAddr, now: Millis) {
        self.until.retain(|_, until| now < *until);
        self.until.insert(source, now.plus(SHUN_TIME));
    }

    fn holds(&self, source: SocketAddr, now: Millis) -> bool {
        self.until.get(&source).is_some_and(|until| now < *until)
    }
}

/// Returns where the host `own` of `domain` learns, given the fleet's `members`.
#[must_use]
pub fn choose<'a>(
    own: &Name,
    domain: &Name,
    members: impl Iterator<Item = &'a Member>,
    shunned: &Shunned,
    now: Millis,
) -> Source {
    let mut near: Vec<&Member> = members.filter(|member| member.domain == *domain).collect();
    if near.len() <= FEW {
        return Source::Registry;
    }
    near.sort_by_key(|member| member.rank());
    let sources = near.len().div_ceil(HOSTS_EACH).max(CHOICES);
    near.truncate(sources);
    if near.iter().any(|member| member.id == *own) {
        return Source::Registry;
    }
    let seed = hash(own, 0);
    near.sort_by_key(|member| hash(&member.id, seed));
    near.into_iter()
        .take(CHOICES)
        .find(|member| !shunned.holds(member.address, now))
        .map_or(Source::Registry, |member| Source::Host(member.address))
}

/// Returns whether a source that the registry answered `age` ago, and that this host has
/// followed for `followed`, may have missed a change.
#[must_use]
pub fn is_behind(age: Duration, followed: Duration) -> bool {
    age > STALE_TIME && followed > SETTLE_TIME
}

/// Returns whether a source that the registry answered `age` ago is left, when the registry
/// answers this host in `took`: one that is slow for both is heard later by both.
#[must_use]
pub fn is_left(age: Duration, took: Duration) -> bool {
    age > STALE_TIME + took * 2
}

/// Returns whether a starting host may begin with another host's word that is `age` old.
#[must_use]
pub fn is_fresh(age: Duration) -> bool {
    age <= FRESH_TIME
}

/// Returns how long to wait after `failures` calls in a row that the registry did not answer.
#[must_use]
pub fn retry_pause(failures: u32) -> Duration {
    FIRST_PAUSE * 2_u32.pow(failures.saturating_sub(1).min(PAUSE_DOUBLINGS))
}
