//! Which requests another host handles, and what follows when it does not.
//!
//! Handles a host that reaches no leaf at all, or none of a service, or can't check keys, while
//! callers and other hosts still reach it. Another host can send a request to leaves in its place: one that no leaf may have got yet, and only once,
//! so that a request never goes round between hosts that are all cut off.

use {crate::state::routes::Repeats, std::time::Duration};

/// Hosts that are asked to handle one request at most.
pub const MAX_HOSTS: usize = 6;

/// Fraction of the latency objective in which another host must accept a request.
const ACCEPT_RATIO: f64 = 0.2;

/// Shortest time to accept a request: the way to another host, and the requests that it handles
/// first.
const MIN_ACCEPT_TIMEOUT: Duration = Duration::from_millis(40);

/// Time before its deadline at which the other host gives its response, for the way back.
pub const RESPONSE_RESERVE: Duration = Duration::from_millis(8);

/// A request that may be handed to another host.
#[derive(Clone, Copy, Debug)]
pub struct RelayFacts {
    /// Whether this host can't handle it: it reaches no leaf of its service, or can't check the
    /// key.
    pub is_unable: bool,
    /// Whether this host handles the request for another one.
    pub is_relayed: bool,
    /// Whether a leaf may have got the request.
    pub may_have_run: bool,
}

/// What a host that was asked did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostReply {
    /// It sends nothing to leaves: it can't be reached, or has rejected the request.
    Declined,
    /// It reaches no leaf of the request's service.
    Unreached,
    /// It did not accept the request in time, or was lost before it did; a leaf may have got it.
    Silent,
}

/// Returns whether another host should handle the request.
#[must_use]
pub fn should_relay(facts: &RelayFacts) -> bool {
    facts.is_unable && !facts.is_relayed && !facts.may_have_run
}

/// A request that waits for replies of leaves, and may be handed to another host besides.
#[derive(Clone, Copy, Debug)]
pub struct WaitingFacts {
    /// Whether it may run more than once.
    pub repeats: Repeats,
    /// Whether this host handles it for another one.
    pub is_relayed: bool,
    /// Whether it waits on a connection that has carried replies: then its leaf is slow.
    pub has_used_pool: bool,
}

/// Returns whether another host may handle the request besides, when new connections to its
/// service are silent.
#[must_use]
pub fn may_hand_over(facts: &WaitingFacts) -> bool {
    facts.repeats == Repeats::Safe && !facts.is_relayed && !facts.has_used_pool
}

/// Returns the time in which a host must accept a request with this latency objective; `None`
/// without a limit. A request that runs once can't be sent to another host after that, so there
/// is nothing to gain.
#[must_use]
pub fn accept_timeout(objective: Duration, repeats: Repeats) -> Option<Duration> {
    let timeout = objective.mul_f64(ACCEPT_RATIO).max(MIN_ACCEPT_TIMEOUT);
    (repeats == Repeats::Safe).then_some(timeout)
}

/// Returns whether `replies` show that the service is down, and not only that hosts which could
/// handle the request are missing.
#[must_use]
pub fn is_down(replies: &[HostReply]) -> bool {
    replies.contains(&HostReply::Unreached) && !replies.contains(&HostReply::Silent)
}

/// Returns whether another host is asked after `replies`, of which the last came just now.
#[must_use]
pub fn asks_another(replies: &[HostReply], repeats: Repeats) -> bool {
    let silent = replies.iter().filter(|reply| **reply == HostReply::Silent);
    let allowed = match repeats {
        Repeats::Safe => 1,
        Repeats::Never => 0,
    };
    replies.len() < MAX_HOSTS && silent.count() <= allowed
}
