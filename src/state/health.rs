//! Recent failures and slow replies of leaves, by which replicas are ordered.

use {
    super::catalog::{LeafEntry, LeafId},
    crate::{clock::Millis, collections::Map, protocol::verdict::Cause},
    std::{
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
};

/// First backoff of a leaf that failed or was slow; each further failure or slow reply
/// doubles it.
const MIN_BACKOFF: Duration = Duration::from_secs(1);

/// Longest backoff of a leaf.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

#[derive(Clone, Copy, Debug)]
struct Backoff {
    started_at: Millis,
    duration: Duration,
}

/// Leaves that failed or were slow and have not replied in good time since.
#[derive(Debug, Default)]
pub struct LeafHealth {
    backoffs: Mutex<Map<LeafId, Backoff>>,
}

impl LeafHealth {
    /// Records that a leaf replied in good time, which ends its backoff.
    pub fn record_success(&self, leaf: LeafId) {
        let mut backoffs = self.backoffs.lock().unwrap_or_else(PoisonError::into_inner);
        if !backoffs.is_empty() {
            backoffs.remove(&leaf);
        }
    }

    /// Records that a leaf returned no rows, and starts a backoff if `cause` lies in the
    /// leaf.
    pub fn record_failure(&self, leaf: LeafId, cause: Cause) {
        // The other causes don't depend on the leaf.
        let is_leaf_fault = matches!(
            cause,
            Cause::Unreachable
                | Cause::Crashed
                | Cause::Deadline
                | Cause::Draining
                | Cause::DomainOut
                | Cause::Shed
                | Cause::Version
                | Cause::NoOwner
        );
        if is_leaf_fault {
            self.back_off(leaf);
        }
    }

    /// Records that a leaf failed or was far slower than the others: starts its backoff, or
    /// doubles it.
    pub fn back_off(&self, leaf: LeafId) {
        let now = Millis::now();
        let mut backoffs = self.backoffs.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = backoffs.entry(leaf).or_insert(Backoff {
            started_at: now,
            duration: MIN_BACKOFF / 2,
        });
        // Several queries may be slowed by the same stall, which counts once.
        let is_next_failure =
            entry.duration < MIN_BACKOFF || now.since(entry.started_at) >= entry.duration;
        if is_next_failure {
            entry.started_at = now;
            entry.duration = (entry.duration * 2).min(MAX_BACKOFF);
        }
    }

    /// Records leaves that their owners report as slow. A backoff that this daemon's own
    /// recent requests caused takes precedence.
    pub fn record_slow_leaves(&self, leaves: &[LeafId]) {
        let started_at = Millis::now();
        let mut backoffs = self.backoffs.lock().unwrap_or_else(PoisonError::into_inner);
        for leaf in leaves {
            backoffs.entry(*leaf).or_insert(Backoff {
                started_at,
                duration: MIN_BACKOFF,
            });
        }
    }

    /// Returns whether a leaf's backoff has not expired yet.
    #[must_use]
    pub fn is_backed_off(&self, leaf: LeafId) -> bool {
        let backoffs = self.backoffs.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = backoffs.get(&leaf);
        entry.is_some_and(|entry| Millis::now().since(entry.started_at) < entry.duration)
    }

    /// Returns whether a leaf is ordered last: it failed or was slow, and has not replied
    /// in good time since.
    #[must_use]
    pub fn has_backoff(&self, leaf: LeafId) -> bool {
        let backoffs = self.backoffs.lock().unwrap_or_else(PoisonError::into_inner);
        backoffs.contains_key(&leaf)
    }

    /// Returns whether a leaf's backoff has expired, so that a request to a replica is also
    /// sent to the leaf. If so, the backoff starts again with the same length, and no other
    /// request tries the leaf until it expires.
    pub fn claim_retry(&self, leaf: LeafId) -> bool {
        let now = Millis::now();
        let mut backoffs = self.backoffs.lock().unwrap_or_else(PoisonError::into_inner);
        match backoffs.get_mut(&leaf) {
            Some(entry) if now.since(entry.started_at) >= entry.duration => {
                entry.started_at = now;
                true
            }
            _ => false,
        }
    }

    /// Orders replicas. Those that failed or were slow come last until they have replied in
    /// good time; the others are ordered by `draw`, a random number of this query, so that
    /// replicas share the load.
    #[must_use]
    pub fn order_replicas(&self, replicas: &[Arc<LeafEntry>], draw: u64) -> Vec<Arc<LeafEntry>> {
        let backoffs = self.backoffs.lock().unwrap_or_else(PoisonError::into_inner);
        let mut ranked: Vec<(bool, u64, &Arc<LeafEntry>)> = replicas
            .iter()
            .map(|leaf| {
                let mixed = (leaf.id.0 ^ draw).wrapping_mul(0x9E37_79B9_7F4A_7C15);
                (backoffs.contains_key(&leaf.id), mixed, leaf)
            })
            .collect();
        ranked.sort_unstable_by_key(|(is_last, mixed, _)| (*is_last, *mixed));
        let leaves = ranked.into_iter().map(|(_, _, leaf)| Arc::clone(leaf));
        leaves.collect()
    }
}
