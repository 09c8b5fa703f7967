//! Gossip: sends this daemon's digest to other members and applies theirs.

use {
    super::{Action, GUEST_TTL, Gates, Peer, ReceivedDigest},
    crate::{
        clock::Millis,
        collections::{Name, Set},
        coordination::{acks::Acks, placement::hash_weight},
        protocol::message::{Digest, MemberKey, Message, Pull},
        state::catalog::{LeafEntry, LeafId},
    },
    std::{cmp::Reverse, time::Duration},
};

/// Time between digests to [`DIGEST_FAN_OUT`] members while nothing changes.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);

/// Time between checks for slow leaves.
const SLOW_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of members that are sent a digest every [`DIGEST_INTERVAL`] while nothing changes.
const DIGEST_FAN_OUT: usize = 2;

/// Largest number of members at which a digest on a change is sent to all of them.
const MAX_MESH_MEMBERS: usize = 9;

/// Number of members that are sent a digest on a change in a larger fleet.
const NEIGHBOUR_COUNT: usize = 6;

/// Least time between digests on changes.
const MIN_BROADCAST_INTERVAL: Duration = Duration::from_millis(40);

impl Peer {
    pub(super) fn digest(&self, now: Millis) -> Digest {
        Digest {
            epoch: self.list.epoch,
            revision: self.record.revision,
            busy: self.busy_leaves(),
            leased: self.lease_until() > now,
            leaving: self.leaving,
            versions: self.versions.clone(),
            fenced: self.fenced.iter().cloned().collect(),
            leaving_targets: self.leaving_targets.clone(),
            slow: self.slow.clone(),
            turn: self.gossip.turn,
            acks: self.acks.bits(),
            relayed: self.acks.relayed(),
        }
    }

    fn busy_leaves(&self) -> Vec<LeafId> {
        let mut busy: Vec<LeafId> = self.closing.iter().copied().collect();
        busy.sort_unstable();
        busy
    }

    /// Starts to collect acknowledgements of the list and configuration that just came into
    /// force, with those that the digests received before already hold.
    pub(super) fn collect_acks(&mut self) {
        self.acks = Acks::new(&self.list, self.record.revision);
        for (key, latest) in &self.digests {
            self.acks.record_digest(key, &latest.digest);
        }
    }

    /// Records the acknowledgements in a digest, of its sender and of those that it relays.
    fn record_acks(&mut self, from: &MemberKey, digest: &Digest) {
        self.gossip.has_relays |= self.acks.record_digest(from, digest);
        if self.acks.has_more_than(digest) {
            self.gossip.lacking.insert(from.id.clone());
        }
    }

    pub(super) fn send_due_digests(
        &mut self,
        now: Millis,
        gates: &impl Gates,
        actions: &mut Vec<Action>,
    ) {
        if now >= self.check_at {
            self.check_at = now.plus(SLOW_CHECK_INTERVAL);
            let slow = gates.slow_leaves(&self.held_leaves());
            if slow != self.slow {
                self.dirty = true;
                actions.push(Action::SlowLeaves(slow.clone()));
                self.slow = slow;
            }
        }
        let is_due = now >= self.digest_at;
        if is_due {
            self.digest_at = now.plus(DIGEST_INTERVAL);
            let versions = gates.version_ranges(&self.held_leaves());
            self.dirty |= versions != self.versions;
            self.versions = versions;
            let own = self.candidate.id.clone();
            actions.push(Action::Versions(own, self.versions.clone()));
        }
        let mut to = Set::default();
        if now >= self.broadcast_at {
            to = self.broadcast_receivers();
        }
        if !to.is_empty() {
            self.broadcast_at = now.plus(MIN_BROADCAST_INTERVAL);
        } else if is_due {
            to = self.periodic_receivers();
        }
        if !to.is_empty() {
            self.send_digest(to, now, actions);
        }
    }

    /// Returns the members to send a digest to because of changes, and clears the changes.
    fn broadcast_receivers(&mut self) -> Set<Name> {
        let mut to = std::mem::take(&mut self.gossip.lacking);
        let has_relays = std::mem::take(&mut self.gossip.has_relays);
        let is_dirty = std::mem::take(&mut self.dirty);
        let is_mesh = self.list.members.len() <= MAX_MESH_MEMBERS;
        if is_dirty && (is_mesh || self.leaving) {
            to.extend(self.other_members().map(|key| key.id.clone()));
        } else if is_dirty || (has_relays && !is_mesh) {
            to.extend(self.neighbours());
        }
        to
    }

    /// Returns the next members in the rotation of periodic digests.
    fn periodic_receivers(&mut self) -> Set<Name> {
        let others: Vec<Name> = self.other_members().map(|key| key.id.clone()).collect();
        let few = (0..DIGEST_FAN_OUT.min(others.len()))
            .map(|step| others[(self.rotation + step) % others.len()].clone())
            .collect();
        self.rotation = self.rotation.wrapping_add(DIGEST_FAN_OUT);
        few
    }

    fn held_leaves(&self) -> Vec<&LeafEntry> {
        let held = self.open_leaves.iter();
        held.filter_map(|leaf| self.catalog.leaves.get(leaf).map(AsRef::as_ref))
            .collect()
    }

    /// Returns the members that are sent a digest on a change in a large fleet. They differ
    /// from epoch to epoch, so that two members that can't reach each other exchange
    /// acknowledgements through others.
    fn neighbours(&self) -> Vec<Name> {
        let mut others: Vec<Name> = self.other_members().map(|key| key.id.clone()).collect();
        let salt = format!("{}/{}", self.candidate.id, self.list.epoch);
        others.sort_by_cached_key(|id| Reverse(hash_weight(&salt, id)));
        others.truncate(NEIGHBOUR_COUNT);
        others
    }

    fn send_digest(&mut self, to: Set<Name>, now: Millis, actions: &mut Vec<Action>) {
        self.gossip.turn += 1;
        if let Some(own) = &self.key {
            self.acks
                .record_own(own, self.gossip.turn, &self.busy_leaves());
        }
        let digest = self.digest(now);
        for to in to {
            let message = Message::Digest(digest.clone());
            actions.push(Action::Send { to, message });
        }
    }

    pub(super) fn apply_digest(
        &mut self,
        from: &MemberKey,
        mut digest: Digest,
        now: Millis,
        gates: &impl Gates,
        actions: &mut Vec<Action>,
    ) {
        if digest.epoch > self.list.epoch || digest.revision > self.record.revision {
            self.send_pull(&from.id, actions);
        }
        if digest.epoch < self.list.epoch || digest.revision < self.record.revision {
            let pull = Pull {
                epoch: digest.epoch,
                revision: digest.revision,
            };
            self.reply_to_pull(&from.id, pull, actions);
        }
        if self.list.get(from).is_none() {
            if from.term == 0 {
                self.guests
                    .retain(|_, digest_at| now.since(*digest_at) < GUEST_TTL);
                self.guests.insert(from.id.clone(), now);
            }
            return;
        }
        actions.push(Action::Versions(
            from.id.clone(),
            std::mem::take(&mut digest.versions),
        ));
        if !digest.slow.is_empty() {
            let slow = std::mem::take(&mut digest.slow);
            actions.push(Action::SlowLeaves(slow));
        }
        if !digest.leaving_targets.is_empty() {
            actions.push(Action::LeavingTargets(digest.leaving_targets.clone()));
        }
        self.apply_fenced(&digest.fenced.clone(), now, gates, actions);
        let was_leaving = self
            .digests
            .get(from)
            .is_some_and(|latest| latest.digest.leaving);
        let starts_leaving = digest.leaving && !was_leaving;
        // Messages may arrive out of order; an older digest must not replace a newer one.
        let is_older = self
            .digests
            .get(from)
            .is_some_and(|latest| latest.digest.turn >= digest.turn);
        if is_older {
            return;
        }
        self.record_acks(from, &digest);
        let received = ReceivedDigest {
            digest,
            received_at: now,
        };
        self.digests.insert(from.clone(), received);
        if starts_leaving {
            self.update_placement(now, gates, actions);
        }
        self.acquire_leaves(now, gates, actions);
    }
}
