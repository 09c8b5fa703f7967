//! Proposes changes of the member list: to join, to get more witnesses, to remove members
//! that are fenced or have left.

use {
    super::{Action, Peer},
    crate::{
        clock::Millis,
        coordination::{
            lease::CLOCK_DRIFT_MARGIN,
            members::{Change, MemberList, WitnessNeed},
        },
        protocol::message::MemberKey,
    },
    std::time::Duration,
};

/// Time without joins or leaves after which a member proposes more witnesses for itself.
/// New witnesses of other members don't restart it, else each member would wait for all
/// before it.
const REWITNESS_DELAY: Duration = Duration::from_millis(700);

/// Delay between the end of a proposal, successful or not, and the next one.
const PROPOSAL_DELAY: Duration = Duration::from_millis(200);

impl Peer {
    /// Returns whether this daemon may still propose `change` on top of the list in force.
    #[must_use]
    pub fn may_propose(&self, change: &Change, now: Millis) -> bool {
        match change {
            Change::Join(_) => {
                // Work of an earlier process of this daemon, which ended before this process
                // started, may run until its lease ends.
                let has_entry = self.list.by_id(&self.candidate.id).is_some();
                let is_over = now >= self.started_at.plus(self.lease + CLOCK_DRIFT_MARGIN);
                self.key.is_none() && (!has_entry || is_over)
            }
            Change::Rewitness(key) => self.key.as_ref() == Some(key),
            Change::Remove(_) => true,
        }
    }

    /// Records that `change` is about to be proposed on top of `list`.
    pub fn before_proposal(&mut self, list: &MemberList, change: &Change, now: Millis) {
        if matches!(change, Change::Join(_)) {
            self.join_terms.insert(list.epoch + 1);
        }
        if let (Change::Rewitness(key), Some(next)) = (change, list.after(change))
            && let Some(member) = next.get(key)
        {
            self.holder
                .add_proposed_round(member.round, &member.witnesses, now);
        }
    }

    /// Records that the proposal on top of `list` has failed for certain.
    pub fn proposal_failed(&mut self, list: &MemberList) {
        self.holder.withdraw(list.epoch + 1);
    }

    /// Records that the proposal has ended, and delays the next one.
    pub fn proposal_done(&mut self, now: Millis) {
        self.proposing = false;
        self.propose_at = now.plus(PROPOSAL_DELAY);
    }

    pub(super) fn propose_change(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.proposing || now < self.propose_at {
            return;
        }
        if let Some(change) = self.next_change(now) {
            self.proposing = true;
            actions.push(Action::Propose(change));
        }
    }

    fn next_change(&self, now: Millis) -> Option<Change> {
        if self.leaving {
            let key = self.key.clone().filter(|_| self.has_left())?;
            return Some(Change::Remove(vec![key]));
        }
        if self.key.is_none() {
            return Some(Change::Join(self.candidate.clone()));
        }
        let member = self.list.get(self.key.as_ref()?)?;
        let needs = match self.list.witness_need(member) {
            WitnessNeed::Urgent => true,
            WitnessNeed::Some => now.since(self.changed_at) >= REWITNESS_DELAY,
            WitnessNeed::None => false,
        };
        if needs && !self.holder.has_old_round() {
            return Some(Change::Rewitness(member.key.clone()));
        }
        let gone = self.gone_members();
        let removes = now.since(self.listed_at) >= REWITNESS_DELAY / 2
            && !gone.is_empty()
            && self.removes_members();
        removes.then_some(Change::Remove(gone))
    }

    /// Returns the members that will never act again under their current term.
    fn gone_members(&self) -> Vec<MemberKey> {
        let gone = self.other_members().filter(|key| self.is_gone(key));
        gone.cloned().collect()
    }

    /// Returns whether this daemon removes the gone members: only the first member of the
    /// list that is not gone does.
    fn removes_members(&self) -> bool {
        let mut remaining = self.list.members.iter().map(|member| &member.key);
        remaining.find(|key| !self.is_gone(key)) == self.key.as_ref()
    }

    /// Returns whether a member is fenced, or is leaving and has nothing in flight.
    pub(super) fn is_gone(&self, key: &MemberKey) -> bool {
        self.fenced.contains(key)
            || self
                .digests
                .get(key)
                .is_some_and(|latest| latest.digest.leaving && latest.digest.busy.is_empty())
    }
}
