//! Whether a leaf has ended that broke a connection while it had a request.
//!
//! A leaf that runs on can break connections too, and so can a network that cuts this host off.
//! A leaf has ended if its address refuses connections while another leaf of its failure domain
//! accepts them, or of any where it is the only one. Where none does, [`state::unproven_ends`](crate::state::unproven_ends) waits for the registry.

use {
    super::view::{LeafHandle, View},
    crate::{
        state::roster::LeafStart,
        transport::leaf::{Listener, accepts_any, check_listener},
    },
    rand::seq::IteratorRandom,
    std::{sync::Arc, time::Duration},
};

/// Time in which a leaf accepts or refuses a connection: some round trips within a region, and
/// turns of a busy host.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// Other leaves that are asked for a connection before this host counts as cut off: when many
/// leaves end together, one of so many runs.
const MAX_WITNESSES: usize = 4;

/// Whether a leaf has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeafCheck {
    /// It has.
    Ended,
    /// It accepts connections.
    Running,
    /// It can't be told: the leaf is silent, or no other leaf that was asked accepted a
    /// connection. These didn't, and this host may be cut off.
    Unknown(Vec<LeafStart>),
}

impl LeafCheck {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(&self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Running => "running",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// Checks `leaf`, which broke a connection.
pub async fn check_leaf(view: &View, leaf: &LeafHandle) -> LeafCheck {
    let listener = check_listener(leaf.leaf.address, CHECK_TIMEOUT).await;
    if listener == Listener::Accepts {
        return LeafCheck::Running;
    }
    let witnesses = choose_witnesses(view, leaf);
    let addresses = witnesses.iter().map(|witness| witness.leaf.address);
    let is_reached = accepts_any(addresses, CHECK_TIMEOUT).await;
    match (listener, is_reached) {
        (Listener::Refuses, true) => LeafCheck::Ended,
        (_, true) => LeafCheck::Unknown(Vec::new()),
        (_, false) => {
            let starts = witnesses.iter().map(|witness| witness.leaf.start());
            LeafCheck::Unknown(starts.collect())
        }
    }
}

/// Chooses other leaves that show whether this host reaches `leaf`: of its domain if there are
/// any, since a host can be cut off from one domain.
fn choose_witnesses<'a>(view: &'a View, leaf: &LeafHandle) -> Vec<&'a Arc<LeafHandle>> {
    let all = view.services.values().flat_map(|service| &service.leaves);
    let others = all.filter(|other| other.leaf.address != leaf.leaf.address);
    let (near, far): (Vec<_>, Vec<_>) =
        others.partition(|other| other.leaf.domain == leaf.leaf.domain);
    let witnesses = if near.is_empty() { far } else { near };
    witnesses
        .into_iter()
        .sample(&mut rand::rng(), MAX_WITNESSES)
}
