//! How recently a host's copy of the registry is proven current.
//!
//! A proof is a call to the registry, by this host or by another one: no change of the routes that
//! was confirmed before the call was sent is missing in a copy at the proof's revision. The time of
//! the reply does not count, nor does that at which the copy was received.

use {
    super::revision::Revision,
    crate::clock::BootTime,
    std::{collections::VecDeque, time::Duration},
};

/// Proofs that are kept until the copy has their revisions.
const MAX_PENDING: usize = 8;

/// A proof for copies of the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// When the call was sent.
    pub sent_at: BootTime,
    /// Revision at which, or at a later one of the same era, a copy has all changes of the routes
    /// that were confirmed before that.
    pub revision: Revision,
}

/// What proves a host's copy current.
#[derive(Clone, Debug, Default)]
pub struct CopyProofs {
    /// Revision of the copy.
    copy: Revision,
    /// Revision of the copy that last changed its routes.
    routes: Revision,
    proven: Option<Proof>,
    /// Proofs for revisions that the copy doesn't have yet, the latest last.
    pending: VecDeque<Proof>,
}

impl CopyProofs {
    /// Records a proof, which counts once the copy has its revision.
    pub fn record_proof(&mut self, proof: Proof) {
        let is_newer = |known: &Proof| known.sent_at < proof.sent_at;
        if !self.proven.as_ref().is_none_or(is_newer) {
            return;
        }
        if is_covered(self.copy, proof) {
            self.set_proven(proof);
            return;
        }
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_front();
        }
        self.pending.push_back(proof);
    }

    /// Records the revision of the copy that requests are served from now, and the revision at
    /// which its routes last changed.
    pub fn record_copy(&mut self, copy: Revision, routes: Revision) {
        self.copy = copy;
        self.routes = routes;
        let covered = self
            .pending
            .iter()
            .filter(|proof| is_covered(copy, **proof));
        if let Some(latest) = covered.copied().max_by_key(|proof| proof.sent_at) {
            self.set_proven(latest);
        }
    }

    /// Returns the revision of the copy.
    #[must_use]
    pub fn copy(&self) -> Revision {
        self.copy
    }

    /// Returns the time since which changes may be missing in the copy; `None` without a proof.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.proven.map(|proven| now.since(proven.sent_at))
    }

    /// Returns the proof for the copies of other hosts; `None` without one.
    #[must_use]
    pub fn proof(&self) -> Option<Proof> {
        let mut proof = self.proven?;
        // The copy has all changes up to the proof's revision, and none since that of the routes.
        if self.routes.continues(proof.revision) {
            proof.revision = proof.revision.min(self.routes);
        }
        Some(proof)
    }

    fn set_proven(&mut self, proof: Proof) {
        if self
            .proven
            .is_none_or(|known| known.sent_at < proof.sent_at)
        {
            self.proven = Some(proof);
        }
        let proven = self.proven;
        self.pending
            .retain(|pending| proven.is_none_or(|proven| proven.sent_at < pending.sent_at));
    }
}

/// Returns whether a copy at `copy` has what `proof` is about.
fn is_covered(copy: Revision, proof: Proof) -> bool {
    !copy.is_initial() && copy.continues(proof.revision) && copy >= proof.revision
}
