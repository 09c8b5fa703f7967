//! Which host places the requests to the leaves of a service, and when a host does without.
//!
//! Handles many hosts with few requests each to the same few leaves. No host sees enough replies
//! to know which leaf is slow now, and callers of one organisation fill the leaves' queues before
//! the others. One host that sees all requests of the service knows both. It must not become a
//! part that the service can't do without.

use {
    crate::{
        collections::{Name, hash},
        state::routes::Destination,
    },
    std::time::Duration,
};

/// Time for which a host waits for the placer's first sign: the way there and back, and what the
/// placer does first.
pub const SIGN_TIMEOUT: Duration = Duration::from_millis(30);

/// Time for which a host does without the placer after it gave no sign; doubled after each
/// further one in a row.
const BACKOFF: Duration = Duration::from_millis(500);

/// Most doublings of [`BACKOFF`].
const MAX_DOUBLINGS: u32 = 3;

/// A host that may place requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Host<'a> {
    /// Its name.
    pub id: &'a Name,
    /// Its processor share, thousandths of a core.
    pub millicores: u32,
}

/// A request that may be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementFacts<'a> {
    /// Where its route leads.
    pub destination: &'a Destination,
    /// Whether its caller belongs to an organisation.
    pub has_organisation: bool,
    /// Hosts of the fleet.
    pub hosts: usize,
    /// Usable leaves of its service.
    pub leaves: usize,
}

/// Returns whether a request is placed: its organisation competes with others, and there are
/// more hosts than leaves, so that no host knows the leaves by itself.
#[must_use]
pub fn is_placed(facts: &PlacementFacts) -> bool {
    matches!(facts.destination, Destination::Split(_))
        && facts.has_organisation
        && facts.leaves > 1
        && facts.hosts > facts.leaves
}

/// Returns the host that places the requests to `service`: one of those with the largest
/// processor share, by rendezvous hashing; `None` without `hosts`.
#[must_use]
pub fn choose_placer<'a>(
    service: &str,
    hosts: impl Iterator<Item = Host<'a>> + Clone,
) -> Option<&'a Name> {
    let largest = hosts.clone().map(|host| host.millicores).max()?;
    let seed = hash(service, 0);
    let strong = hosts.filter(|host| host.millicores == largest);
    strong
        .max_by_key(|host| (hash(host.id, seed), host.id))
        .map(|host| host.id)
}

/// Returns the time for which a host does without a placer that gave no sign `failures` times
/// in a row.
#[must_use]
pub fn backoff(failures: u32) -> Duration {
    BACKOFF * 2_u32.pow(failures.saturating_sub(1).min(MAX_DOUBLINGS))
}
