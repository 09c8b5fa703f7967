//! Whether a leaf has ended that broke a connection while it had a request.
//!
//! A leaf that runs on can break connections too, and so can a network that cuts this host off.
//! A leaf has ended if its address refuses connections while another leaf accepts them.

use {
    super::view::{LeafHandle, View},
    crate::transport::leaf::{Listener, accepts_any, check_listener},
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
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeafCheck {
    /// It has.
    Ended,
    /// It accepts connections.
    Running,
    /// It can't be told: the leaf is silent, or this host may be cut off.
    Unknown,
}

impl LeafCheck {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Running => "running",
            Self::Unknown => "unknown",
        }
    }
}

/// Checks `leaf`, which broke a connection.
pub async fn check_leaf(view: &View, leaf: &Arc<LeafHandle>) -> LeafCheck {
    match check_listener(leaf.leaf.address, CHECK_TIMEOUT).await {
        Listener::Accepts => LeafCheck::Running,
        Listener::Refuses if reaches_other_leaf(view, leaf).await => LeafCheck::Ended,
        Listener::Refuses | Listener::Silent => LeafCheck::Unknown,
    }
}

async fn reaches_other_leaf(view: &View, leaf: &Arc<LeafHandle>) -> bool {
    let all = view.services.values().flat_map(|service| &service.leaves);
    let others = all.filter(|other| other.leaf.address != leaf.leaf.address);
    let witnesses = others.sample(&mut rand::rng(), MAX_WITNESSES);
    let addresses = witnesses.iter().map(|witness| witness.leaf.address);
    accepts_any(addresses, CHECK_TIMEOUT).await
}
