//! Renews this daemon's own lease.

use {
    super::{Action, Gates, Peer},
    crate::{
        clock::Millis,
        protocol::message::{MemberKey, Message, Refused, Renew},
    },
};

impl Peer {
    pub(super) fn renew_lease(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if now < self.renew_at || self.key.is_none() {
            return;
        }
        self.renew_at = now.plus(self.lease / 3);
        self.holder.grant_self(now);
        for (witness, round) in self.holder.renewals() {
            let message = Message::Renew(Renew {
                round,
                sent: now,
                epoch: self.list.epoch,
                revision: self.record.revision,
            });
            actions.push(Action::Send {
                to: witness.id,
                message,
            });
        }
    }

    pub(super) fn apply_refusal(
        &mut self,
        from: &MemberKey,
        refused: Refused,
        now: Millis,
        gates: &impl Gates,
        actions: &mut Vec<Action>,
    ) {
        if refused.fenced {
            self.holder.record_refusal(from, refused.round);
            if self.cannot_renew() && self.lease_until() <= now {
                self.end_membership(now, gates, actions);
            }
        } else {
            // The witness has a newer list or configuration and has sent it along, or does
            // not know the round yet: renew again at the next tick.
            self.renew_at = self.renew_at.min(self.listed_at);
        }
    }

    /// Returns whether so many witnesses have voted to fence this daemon, or are no longer
    /// members, that it can't hold its lease again under this term. New witnesses would not
    /// help: they are chosen from the same members, and a vote to fence is final.
    fn cannot_renew(&self) -> bool {
        let member = self.key.as_ref().and_then(|key| self.list.get(key));
        member.is_some_and(|member| {
            let refusing = self.holder.refusing();
            let able = member
                .witnesses
                .iter()
                .filter(|key| self.list.get(key).is_some() && !refusing.contains(key));
            able.count() < member.witnesses.len() / 2 + 1
        })
    }

    /// Drops the previous witnesses once every other member knows the current ones.
    pub(super) fn drop_old_round(&mut self) {
        if !self.holder.has_old_round() {
            return;
        }
        let Some(round) = self
            .key
            .as_ref()
            .and_then(|key| Some(self.list.get(key)?.round))
        else {
            return;
        };
        let all_know = self.other_members().all(|key| {
            self.fenced.contains(key)
                || (self.list.epoch >= round && self.acks.has(key))
                || self
                    .digests
                    .get(key)
                    .is_some_and(|latest| latest.digest.epoch >= round)
        });
        if all_know {
            self.holder.drop_old_rounds(round);
        }
    }
}
