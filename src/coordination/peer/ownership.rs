//! Acquires and releases leaves as the placement changes.

use {
    super::{Action, Gates, LogEvent, Peer},
    crate::{
        clock::Millis,
        collections::{Map, Name, Set},
        coordination::placement::Placement,
        protocol::message::{LeafWarmth, MemberKey, Message},
        state::catalog::LeafId,
    },
    std::sync::Arc,
};

impl Peer {
    /// Computes the placement again. Closes the leaves that moved to other members; leaves
    /// that moved to this daemon are pending until it is safe to open them.
    pub(super) fn update_placement(
        &mut self,
        now: Millis,
        gates: &impl Gates,
        actions: &mut Vec<Action>,
    ) {
        self.placement = Arc::new(Placement::new(&self.list, &self.catalog));
        self.excluded_members = Arc::new(self.excluded_ids());
        let owned = if self.key.is_some() && !self.leaving {
            self.placement
                .owned(&self.candidate.id, &self.excluded_members)
        } else {
            Set::default()
        };
        let moved: Vec<LeafId> = self.open_leaves.difference(&owned).copied().collect();
        let mut warmth_by_owner: Map<Name, Vec<LeafWarmth>> = Map::default();
        for leaf in &moved {
            self.open_leaves.remove(leaf);
            self.closing.insert(*leaf);
            let next = self.placement.owner(*leaf, &self.excluded_members);
            if let (Some(warmth), Some(next)) = (gates.close(*leaf), next) {
                warmth_by_owner
                    .entry(next.clone())
                    .or_default()
                    .push(warmth);
            }
        }
        for (to, leaves) in warmth_by_owner {
            let message = Message::Warmth(leaves);
            actions.push(Action::Send { to, message });
        }
        if !moved.is_empty() {
            actions.push(Action::Log(LogEvent::Released(moved.len())));
            self.dirty = true;
        }
        let pending: Set<LeafId> = owned.difference(&self.open_leaves).copied().collect();
        for leaf in self.pending_leaves.difference(&pending) {
            if !self.open_leaves.contains(leaf) {
                let _ = gates.close(*leaf);
            }
        }
        for leaf in &pending {
            gates.queue_requests(*leaf);
        }
        self.pending_leaves = pending;
        self.remove_closed(gates);
        self.acquire_leaves(now, gates, actions);
    }

    fn excluded_ids(&self) -> Set<Name> {
        let members = self.list.members.iter().map(|member| &member.key);
        let mut ids: Set<Name> = members
            .filter(|key| self.fenced.contains(key) || self.is_leaving(key))
            .map(|key| key.id.clone())
            .collect();
        if self.leaving {
            ids.insert(self.candidate.id.clone());
        }
        ids
    }

    fn is_leaving(&self, key: &MemberKey) -> bool {
        self.digests
            .get(key)
            .is_some_and(|latest| latest.digest.leaving)
    }

    /// Removes closing leaves that have nothing in flight any more.
    pub(super) fn remove_closed(&mut self, gates: &impl Gates) {
        let before = self.closing.len();
        self.closing.retain(|leaf| gates.is_busy(*leaf));
        self.dirty |= self.closing.len() < before;
    }

    /// Opens the pending leaves that no other member can be using.
    pub(super) fn acquire_leaves(
        &mut self,
        now: Millis,
        gates: &impl Gates,
        actions: &mut Vec<Action>,
    ) {
        if self.pending_leaves.is_empty() || self.lease_until() <= now {
            return;
        }
        let mut busy: Set<LeafId> = self.closing.clone();
        for key in self.other_members() {
            if self.is_gone(key) {
                continue;
            }
            // A member that has not acknowledged this list and configuration may hold the leaf
            // under a newer one.
            if !self.acks.has(key) {
                return;
            }
            self.acks.add_busy(key, &mut busy);
        }
        let free: Vec<LeafId> = self.pending_leaves.difference(&busy).copied().collect();
        for id in &free {
            self.pending_leaves.remove(id);
            if let Some(leaf) = self.catalog.leaves.get(id) {
                self.open_leaves.insert(*id);
                gates.open(leaf, self.warmth.remove(id).as_ref());
            }
        }
        if !free.is_empty() {
            actions.push(Action::Log(LogEvent::Acquired(free.len())));
        }
    }
}
