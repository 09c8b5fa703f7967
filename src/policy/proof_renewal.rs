//! When a host renews the proof that its copy of the registry is current, and whom it asks.
//!
//! Handles withdrawn keys, which bind all hosts within a set time, at the cost of few calls: hosts
//! that sync from the registry ask it, those that sync from another host ask that one, and a host
//! without an answer from there asks some others before the registry itself.

use std::time::Duration;

/// Age at which a proof is renewed, as a share of the time after which it no longer counts. A host
/// that is cut off then still has a proof for more than half of that time.
const RENEWAL_RATIO: f64 = 0.2;

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

/// Who can prove a copy current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Prover {
    /// The registry.
    Registry,
    /// The host that this one syncs from.
    Source,
    /// Some other hosts.
    OtherHosts,
}

/// Returns whom a host asks, in order; `calls_registry` is false while the registry is left alone
/// since it did not answer.
#[must_use]
pub fn provers(is_follower: bool, calls_registry: bool) -> &'static [Prover] {
    match (is_follower, calls_registry) {
        (true, true) => &[Prover::Source, Prover::OtherHosts, Prover::Registry],
        (true, false) => &[Prover::Source, Prover::OtherHosts],
        (false, true) => &[Prover::Registry, Prover::OtherHosts],
        (false, false) => &[Prover::OtherHosts],
    }
}

/// Returns the time until a proof of this age is renewed, where proofs count for `lifetime`.
/// `jitter` is a random number from 0 to 1.
#[must_use]
pub fn renewal_delay(age: Option<Duration>, lifetime: Duration, jitter: f64) -> Duration {
    let due = lifetime.mul_f64(RENEWAL_RATIO * (1.0 - JITTER_RATIO * jitter));
    age.map_or(Duration::ZERO, |age| due.saturating_sub(age))
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
        Prover::Source | Prover::OtherHosts => HOST_RATIO,
    })
}
