//! When a host renews the proof that its copy of the registry is current, and whom it asks.
//!
//! Handles withdrawn keys, which bind all hosts within a set time, at the cost of few calls: one
//! host of the fleet, the lead, asks the registry. Other hosts that sync from the registry ask the
//! lead, those that sync from another host ask that one, and a host without an answer from there
//! asks others and the registry itself.

use std::time::Duration;

/// Age at which a proof is renewed, as a share of the time after which it no longer counts. A host
/// that is cut off then still has a proof for more than half of that time, also after two hops.
const RENEWAL_RATIO: f64 = 0.2;

/// Oldest proof with which a host doesn't ask further hosts or the registry, as a share of the same
/// time: that of a source whose own has passed a hop is younger.
const RECENT_RATIO: f64 = 0.4;

/// Share of that age by which hosts differ, so that their calls spread.
const JITTER_RATIO: f64 = 0.2;

/// Time after an attempt without a newer proof until the next, as a share of the same time.
const RETRY_RATIO: f64 = 0.08;

/// Longest time for an answer of the registry, as a share of the same time.
const CALL_RATIO: f64 = 0.2;

/// Longest time for an answer of another host, as a share of the same time.
const HOST_RATIO: f64 = 0.05;

/// Other hosts that are asked at once when the usual source has not answered.
pub const HOSTS_ASKED: usize = 3;

/// What a host does for the proofs of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It asks the registry for all hosts.
    Lead,
    /// It syncs from the registry, like the lead.
    Direct,
    /// It syncs from another host.
    Follower,
}

/// Who can prove a copy current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prover {
    /// The registry.
    Registry,
    /// The lead, or the host that takes its place.
    Lead,
    /// The host that this one syncs from.
    Source,
    /// Some other hosts.
    OtherHosts,
}

/// Returns whom a host asks, in order; `calls_registry` is false while the registry is left alone
/// since it did not answer.
#[must_use]
pub fn provers(role: Role, calls_registry: bool) -> &'static [Prover] {
    match (role, calls_registry) {
        (Role::Follower, true) => &[Prover::Source, Prover::OtherHosts, Prover::Registry],
        (Role::Follower, false) => &[Prover::Source, Prover::OtherHosts],
        (Role::Direct, true) => &[Prover::Lead, Prover::Registry, Prover::OtherHosts],
        (Role::Direct, false) => &[Prover::Lead, Prover::OtherHosts],
        (Role::Lead, true) => &[Prover::Registry, Prover::OtherHosts],
        (Role::Lead, false) => &[Prover::OtherHosts],
    }
}

/// Returns whether a host asks `prover` too in this round, in which another host has told a proof, of
/// whatever age, if `is_answered`. While the registry answers nobody, followers leave the calls to
/// their sources; in a fleet that has just started nobody has a proof.
#[must_use]
pub fn asks(role: Role, prover: Prover, is_answered: bool) -> bool {
    !(is_answered && (role, prover) == (Role::Follower, Prover::Registry))
}

/// Returns the time until a proof of this age is renewed, where proofs count for `lifetime`.
/// `jitter` is a random number from 0 to 1.
#[must_use]
pub fn renewal_delay(age: Option<Duration>, lifetime: Duration, jitter: f64) -> Duration {
    let due = lifetime.mul_f64(RENEWAL_RATIO * (1.0 - JITTER_RATIO * jitter));
    age.map_or(Duration::ZERO, |age| due.saturating_sub(age))
}

/// Returns whether a host that has a proof of this age leaves it at that until the next attempt.
#[must_use]
pub fn is_recent(age: Option<Duration>, lifetime: Duration) -> bool {
    age.is_some_and(|age| age <= lifetime.mul_f64(RECENT_RATIO))
}

/// Returns the time until the next attempt after one without a newer proof.
#[must_use]
pub fn retry_delay(lifetime: Duration, jitter: f64) -> Duration {
    lifetime.mul_f64(RETRY_RATIO * (1.0 + JITTER_RATIO * jitter))
}

/// Returns the longest time for an answer of `prover`.
#[must_use]
pub fn answer_timeout(prover: Prover, lifetime: Duration) -> Duration {
    lifetime.mul_f64(match prover {
        Prover::Registry => CALL_RATIO,
        Prover::Lead | Prover::Source | Prover::OtherHosts => HOST_RATIO,
    })
}
