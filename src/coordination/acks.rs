//! Acknowledgements: which members have the same member list and configuration as this
//! daemon.
//!
//! Daemons relay the acknowledgements of each other, so that none needs a digest from every
//! member. They send a bit for each position in the member list, and the leaves that moved
//! away from a member and still have work in flight there.

use {
    super::members::MemberList,
    crate::{
        collections::{Map, Set},
        protocol::message::{Digest, MemberBusy, MemberKey},
        state::catalog::LeafId,
    },
    bit_vec::BitVec,
    bytes::Bytes,
};

/// The acknowledgements of one epoch and revision.
#[derive(Clone, Debug, Default)]
pub struct Acks {
    epoch: u64,
    revision: u64,
    /// Position of each member in the member list.
    places: Map<MemberKey, usize>,
    known: BitVec,
    busy: Map<usize, BusyLeaves>,
}

/// Leaves that moved away from a member and still have work in flight there.
#[derive(Clone, Debug)]
struct BusyLeaves {
    /// Number of the member's digest that reported them.
    turn: u64,
    leaves: Vec<LeafId>,
}

impl Acks {
    /// Returns acknowledgements of `list` and `revision`, none of them known yet.
    #[must_use]
    pub fn new(list: &MemberList, revision: u64) -> Self {
        let keys = list.members.iter().map(|member| member.key.clone());
        let places: Map<MemberKey, usize> = keys.zip(0..).collect();
        Self {
            epoch: list.epoch,
            revision,
            known: BitVec::from_elem(places.len(), false),
            places,
            busy: Map::default(),
        }
    }

    /// Returns whether a member has acknowledged this epoch and revision.
    #[must_use]
    pub fn has(&self, key: &MemberKey) -> bool {
        let place = self.places.get(key);
        place.is_some_and(|place| self.known.get(*place) == Some(true))
    }

    /// Returns whether a digest has this epoch and revision.
    #[must_use]
    pub fn is_current(&self, digest: &Digest) -> bool {
        (digest.epoch, digest.revision) == (self.epoch, self.revision)
    }

    /// Adds the leaves that moved away from a member and are still in use there to `busy`.
    pub fn add_busy(&self, key: &MemberKey, busy: &mut Set<LeafId>) {
        let place = self.places.get(key);
        if let Some(known) = place.and_then(|place| self.busy.get(place)) {
            busy.extend(&known.leaves);
        }
    }

    /// Records a member's own digest, if it has this epoch and revision. Returns whether
    /// anything was new.
    pub fn record_digest(&mut self, from: &MemberKey, digest: &Digest) -> bool {
        if !self.is_current(digest) {
            return false;
        }
        let Some(place) = self.places.get(from).copied() else {
            return false;
        };
        let mut is_new = self.record_member(place, digest.turn, &digest.busy);
        for relayed in &digest.relayed {
            is_new |= self.record_busy(relayed.place, relayed.turn, &relayed.leaves);
        }
        for (place, is_set) in BitVec::from_bytes(&digest.acks).iter().enumerate() {
            if is_set && self.known.get(place) == Some(false) {
                self.known.set(place, true);
                is_new = true;
            }
        }
        is_new
    }

    /// Records a member's acknowledgement with its leaves in use. Returns whether that was
    /// new.
    fn record_member(&mut self, place: usize, turn: u64, leaves: &[LeafId]) -> bool {
        let is_new = self.known.get(place) == Some(false);
        self.known.set(place, true);
        // A member that never had a leaf in use needs no entry.
        let has_entry = self.busy.contains_key(&place);
        (has_entry || !leaves.is_empty()) && self.record_busy(place, turn, leaves) || is_new
    }

    fn record_busy(&mut self, place: usize, turn: u64, leaves: &[LeafId]) -> bool {
        if place >= self.known.len() {
            return false;
        }
        let known = self.busy.get(&place);
        if known.is_some_and(|known| known.turn >= turn) {
            return false;
        }
        let is_new = known.is_none_or(|known| known.leaves != leaves);
        let leaves = leaves.to_vec();
        self.busy.insert(place, BusyLeaves { turn, leaves });
        is_new
    }

    /// Records the acknowledgement of this daemon itself with its leaves in use.
    pub fn record_own(&mut self, key: &MemberKey, turn: u64, leaves: &[LeafId]) {
        if let Some(place) = self.places.get(key).copied() {
            self.record_member(place, turn, leaves);
        }
    }

    /// Returns whether a digest of this epoch and revision lacks an acknowledgement that is
    /// known here.
    #[must_use]
    pub fn has_more_than(&self, digest: &Digest) -> bool {
        let theirs = BitVec::from_bytes(&digest.acks);
        let mut places = self.known.iter().enumerate();
        self.is_current(digest)
            && places.any(|(place, is_set)| is_set && theirs.get(place) != Some(true))
    }

    /// Returns a bit for each member in the order of the member list, set when it has
    /// acknowledged.
    #[must_use]
    pub fn bits(&self) -> Bytes {
        Bytes::from(self.known.to_bytes())
    }

    /// Returns the leaves in use at each member that has reported some.
    #[must_use]
    pub fn relayed(&self) -> Vec<MemberBusy> {
        let entries = self.busy.iter().map(|(place, busy)| MemberBusy {
            place: *place,
            turn: busy.turn,
            leaves: busy.leaves.clone(),
        });
        entries.collect()
    }
}
